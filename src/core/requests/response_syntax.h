#pragma once

// What the head of a response may hold (RFC 9110), for HTTP clients whose parsers allow more. An upstream in trouble may send other
// bytes, which are no answer.

#include <algorithm>
#include <string_view>

namespace skylarkhitch {

constexpr int firstFinalStatus = 200;

// Whether a response may have the status, as an informational or a final one. 101 answers only requests that ask for another protocol,
// which no request to an upstream does.
constexpr bool isResponseStatus(int status) { return status >= 100 && status <= 599 && status != 101; }

// Whether the status refuses the request or tells that it failed. Such a response may be complete before the request was read.
constexpr bool isErrorStatus(int status) { return status >= 400; }

// Whether the text is a token, as names of fields are.
inline bool isFieldName(std::string_view text)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char it) {
        return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || symbols.find(it) != std::string_view::npos;
    });
}

}
