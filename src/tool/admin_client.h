#pragma once

// Blocking HTTP client for the operator port of an instance.

#include "adapters/http_client.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

// Thrown if an instance cannot be reached or returns no usable response; the message says what to do next.
class UnreachableError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct AdminResponse {
    int status = 0;
    // A discarded value if the body is not JSON.
    nlohmann::json json;
};

class AdminClient {
public:
    explicit AdminClient(std::string address)
        : m_address(std::move(address))
    {
    }
    AdminResponse get(const std::string& path);
    AdminResponse post(const std::string& path, const nlohmann::json& body);
    // Sends a call to any address and waits for the result; for the `request` commands. Does not throw UnreachableError.
    HttpResult send(HttpCall);

private:
    AdminResponse call(HttpCall);

    std::string m_address;
    HttpClient m_client;
};

}
