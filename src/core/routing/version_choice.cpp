#include "core/routing/version_choice.h"

#include "core/hashing.h"

#include <algorithm>

namespace skylarkhitch {

namespace {

    bool contains(const std::vector<std::string>& list, const std::string& item)
    {
        return std::find(list.begin(), list.end(), item) != list.end();
    }

    VersionId stagedVersion(const Configuration& configuration, const Model& model, const std::string& key)
    {
        auto it = configuration.rollouts.find(model.id);
        if (it == configuration.rollouts.end())
            return model.current;
        const auto& rollout = it->second;
        return unitHash(key, model.id.value) < rollout.share ? rollout.to : rollout.from;
    }

}

bool mayUse(const Team& team, const Version& version)
{
    return contains(team.models, version.model.value) || contains(team.versions, version.id.value);
}

bool mayUseModel(const Configuration& configuration, const Team& team, const ModelId& model)
{
    return std::any_of(configuration.versions.begin(), configuration.versions.end(), [&](const auto& it) {
        return it.second.model == model && mayUse(team, it.second);
    });
}

std::optional<VersionId> chooseVersion(const Configuration& configuration, const Team& team, const ModelId& modelId, const std::string& key, const VersionPredicate& usable)
{
    auto model = configuration.models.find(modelId);
    if (model == configuration.models.end())
        return std::nullopt;
    auto isEligible = [&](const VersionId& id) {
        auto it = configuration.versions.find(id);
        return it != configuration.versions.end() && !it->second.withdrawn && mayUse(team, it->second) && usable(id);
    };
    auto staged = stagedVersion(configuration, model->second, key);
    if (isEligible(staged))
        return staged;
    if (isEligible(model->second.current))
        return model->second.current;
    const Version* best = nullptr;
    for (const auto& [id, version] : configuration.versions) {
        if (version.model == modelId && isEligible(id) && (!best || version.quality > best->quality))
            best = &version;
    }
    return best ? std::optional(best->id) : std::nullopt;
}

}
