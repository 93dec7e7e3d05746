#pragma once

// Blocking HTTP client for the operator port of an instance.

#include "adapters/http_client.h"

#include <nlohmann/json.hpp>

namespace skylarkhitch {

// Thrown if an instance cannot be reached; the message says what to do next.
class UnreachableError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

struct AdminResponse {
    int status = 0;
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
    // Sends a call to any address; for the `request` commands.
    HttpResult send(HttpCall);

private:
    AdminResponse call(HttpCall);

    std::string m_address;
    HttpClient m_client;
};

}
