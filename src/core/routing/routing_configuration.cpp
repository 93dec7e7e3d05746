#include "core/routing/routing_configuration.h"

#include "core/hashing.h"

#include <numeric>

namespace skylarkhitch {

const Route* RoutingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const Route* best = nullptr;
    for (const auto& it : routes) {
        bool matches = it.host == host && path.substr(0, it.prefix.size()) == it.prefix;
        if (matches && (!best || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

const RoutedService* RoutingConfiguration::findService(const ServiceId& id) const
{
    auto it = services.find(id);
    return it == services.end() ? nullptr : &it->second;
}

const ApiKeyOwner* RoutingConfiguration::findKeyOwner(const std::string& key) const
{
    auto it = keyOwners.find(key);
    return it == keyOwners.end() ? nullptr : &it->second;
}

const ServiceId* chooseService(const Route& route, std::string_view key)
{
    if (route.split.size() == 1)
        return &route.split.front().service;
    auto total = std::accumulate(route.split.begin(), route.split.end(), std::int64_t { 0 }, [](std::int64_t sum, const auto& it) { return sum + it.weight; });
    if (total <= 0)
        return nullptr;
    auto point = unitHash(route.name, key) * static_cast<double>(total);
    for (const auto& it : route.split) {
        point -= static_cast<double>(it.weight);
        if (point < 0)
            return &it.service;
    }
    return &route.split.back().service;
}

}
