#include "edge/peer_documents.h"

#include "adapters/compression.h"

#include <absl/strings/match.h>

namespace skylarkhitch {

bool PeerDocuments::mayCompress(const HeaderFields& request)
{
    const auto* accepted = findField(request, "Accept-Encoding");
    return accepted && absl::StrContains(accepted->value, encoding);
}

std::optional<std::string> PeerDocuments::decode(const HeaderFields& response, std::string body, std::size_t maxBytes)
{
    const auto* used = findField(response, "Content-Encoding");
    if (!used)
        return body;
    return equalsIgnoringCase(used->value, encoding) ? decompress(body, maxBytes) : std::nullopt;
}

const std::string& PeerDocuments::compressed(const std::string& target, std::int64_t version, const std::function<std::string()>& make)
{
    if (version != m_version || m_kept.size() >= maxKept)
        m_kept.clear();
    m_version = version;
    auto it = m_kept.find(target);
    if (it == m_kept.end())
        it = m_kept.emplace(target, compress(make())).first;
    return it->second;
}

}
