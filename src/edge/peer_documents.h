#pragma once

// The documents that peers fetch from this instance, compressed once for all of them: in a large site dozens of peers fetch each
// change, and the link of an instance may carry no more than a few configurations a second. Used on the control thread only.

#include "core/requests/header_field.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace skylarkhitch {

class PeerDocuments {
public:
    static constexpr const char* encoding = "deflate";

    // Whether the fields of a request allow a compressed response. Those of earlier builds do not.
    static bool mayCompress(const HeaderFields& request);
    // Returns the body of a response, as its fields say; nullopt if it cannot be read or is longer than `maxBytes`.
    static std::optional<std::string> decode(const HeaderFields& response, std::string body, std::size_t maxBytes);

    // Returns the compressed document of a target. `make` returns the document; it is called if none of this version is kept. A
    // document of another version replaces all that are kept.
    const std::string& compressed(const std::string& target, std::int64_t version, const std::function<std::string()>& make);

private:
    // Peers that are behind ask for the changes since different revisions.
    static constexpr std::size_t maxKept = 8;

    std::int64_t m_version = 0;
    std::map<std::string, std::string> m_kept;
};

}
