#pragma once

// Client of the platform's key-value service over its HTTP interface: GET /v1/kv/KEY (with ?recurse and
// ?index=N&wait=T), PUT /v1/txn for a compare-and-swap, DELETE /v1/kv/KEY.

#include "adapters/http_client.h"
#include "ports/key_value_store.h"

namespace skylarkhitch {

class HttpStore final : public KeyValueStore {
public:
    HttpStore(HttpClient& client, std::string address)
        : m_client(client)
        , m_address(std::move(address))
    {
    }
    void call(const StoreCall&, ReplyCallback) override;

private:
    void read(const StoreCall&, const std::string& query, ReplyCallback);
    void compareAndSwap(const StoreCall&, ReplyCallback);
    void remove(const StoreCall&, ReplyCallback);

    HttpClient& m_client;
    std::string m_address;
};

}
