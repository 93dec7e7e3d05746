#include "config/parse_configuration.h"

#include "config/edge_settings.h"
#include "config/field_table.h"
#include "config/node_settings.h"

#include <set>

namespace skylarkhitch {

namespace {

    constexpr Range share { 0, 1 };
    constexpr Range anyDuration { 1, 86400000 };

    const Field<Rank> rankFields[] = {
        { "order", &Rank::order, "-", { 0, 100 }, true, "position in the order of urgency; 0 is the most urgent" },
        { "first_token_target_ms", &Rank::firstTokenTarget, "ms", anyDuration, false, "target for the time to the first token; for reports, not used in decisions yet" },
        { "deadline_ms", &Rank::deadline, "ms", anyDuration, false, "deadline of a request that does not specify one" },
        { "worth", &Rank::worth, "-", { 0, 1e6 }, false, "value of a request that met its target; for reports, not used in decisions yet" },
        { "guaranteed_share", &Rank::guaranteedShare, "share", share, false, "fraction of the capacity that is reserved for this rank when other ranks overload the site" },
    };

    const Field<Model> modelFields[] = {
        { "current", &Model::current, "version", {}, true, "version for new sessions when no roll-out is active" },
    };

    const Field<Version> versionFields[] = {
        { "model", &Version::model, "model", {}, true, "model to which the version belongs" },
        { "cost_per_input_token", &Version::costPerInputToken, "millionths", { 0, 1e9 }, false, "price of an input token" },
        { "cost_per_output_token", &Version::costPerOutputToken, "millionths", { 0, 1e9 }, false, "price of an output token" },
        { "quality", &Version::quality, "rating", share, false, "expected rating of its responses" },
        { "withdrawn", &Version::withdrawn, "-", {}, false, "true: no new requests run on this version, including those of existing sessions" },
    };

    const Field<Cascade> cascadeFields[] = {
        { "steps", &Cascade::steps, "models", {}, true, "models to try in order, cheapest first" },
        { "quality_target", &Cascade::qualityTarget, "rating", share, false, "rating that a response must reach" },
    };

    const Field<Team> teamFields[] = {
        { "key_sha256", &Team::keyDigests, "hex", {}, true, "SHA-256 digests of the team's bearer keys" },
        { "models", &Team::models, "models", {}, false, "models of which the team may use every version" },
        { "versions", &Team::versions, "versions", {}, false, "additional individual versions that the team may use" },
        { "cascades", &Team::cascades, "cascades", {}, false, "cascades that the team may use" },
        { "services", &Team::services, "services", {}, false, "services that the team may call" },
        { "share", &Team::share, "weight", { 0.001, 1000 }, false, "weight relative to other teams of the same rank" },
        { "highest_rank", &Team::highestRank, "rank", {}, false, "most urgent rank that the team may request; any rank if not given" },
    };

    const Field<Service> serviceFields[] = {
        { "idempotent_calls", &Service::idempotentCalls, "calls", {}, false, "calls that may be retried, as 'METHOD /path-prefix', in addition to GET, HEAD and OPTIONS" },
        { "cost_per_call", &Service::costPerCall, "millionths", { 0, 1e12 }, false, "price of a successful call (status below 400)" },
        { "rank", &Service::rank, "rank", {}, false, "rank of a call that does not specify one" },
    };

    const Field<Upstream> upstreamFields[] = {
        { "address", &Upstream::address, "ip:port", {}, true, "address on which the upstream listens" },
        { "domain", &Upstream::domain, "domain", {}, false, "failure domain of the upstream" },
        { "version", &Upstream::version, "version", {}, false, "version that the upstream serves; exactly one of version and service must be given" },
        { "service", &Upstream::service, "service", {}, false, "service of which the upstream is an instance" },
        { "slots", &Upstream::slots, "requests", { 1, 10000 }, false, "maximum number of concurrent requests" },
        { "tokens_per_second", &Upstream::tokensPerSecond, "1/s", { 0.1, 1e6 }, false, "tokens generated per second for one request" },
        { "checks_fencing", &Upstream::checksFencing, "-", {}, false, "whether the upstream rejects orders with an outdated fencing token; no orders are sent yet" },
    };

    const Field<Rollout> rolloutFields[] = {
        { "from", &Rollout::from, "version", {}, true, "version to be replaced" },
        { "to", &Rollout::to, "version", {}, true, "version that replaces it" },
        { "share", &Rollout::share, "share", share, false, "fraction of the new sessions that use the new version" },
        { "held", &Rollout::held, "-", {}, false, "true: the command `rollout advance` fails and leaves the share unchanged" },
    };

    const Field<Limits> limitFields[] = {
        { "max_body_bytes", &Limits::maxBodyBytes, "bytes", { 1024, 64 << 20 }, false, "maximum size of a request body" },
        { "max_queued_requests", &Limits::maxQueuedRequests, "requests", { 1, 1000000 }, false, "maximum number of queued requests per instance" },
        { "retry_share", &Limits::retryShare, "share", share, false, "retries allowed, as a fraction of completed attempts" },
        { "rated_share", &Limits::ratedShare, "share", share, false, "fraction of the responses sent without a rating that are rated afterwards" },
        { "attempt_timeout_ms", &Limits::attemptTimeout, "ms", anyDuration, false, "maximum duration of one attempt" },
        { "claim_timeout_ms", &Limits::claimTimeout, "ms", anyDuration, false, "maximum time to wait for a claim to be recorded" },
        { "lookup_window_s", &Limits::lookupWindow, "s", { 60, 31536000 }, false, "how long a caller's idempotency key remains valid" },
        { "entry_keep_for_ms", &Limits::entryKeepFor, "ms", anyDuration, false, "how long callers may cache an entry address" },
        { "crash_memory_s", &Limits::crashMemory, "s", { 1, 86400 }, false, "how long a request that crashed upstreams is rejected" },
    };

    // Reads each named entry of a section into a map of structs. Rollouts have no id; they are named by their model.
    template <typename T, typename Id, typename Table>
    void readSection(const DocumentNode& root, const char* section, const Table& fields, std::map<Id, T>& target, std::vector<DocumentError>& errors)
    {
        auto it = root.members.find(section);
        if (it == root.members.end())
            return;
        if (it->second.kind != DocumentNode::Kind::Map) {
            errors.push_back({ it->second.location, absl::StrCat(section, ": expected a map of names") });
            return;
        }
        for (const auto& [name, child] : it->second.members) {
            T entry {};
            if constexpr (requires { entry.id; })
                entry.id = Id { name };
            else
                entry.model = Id { name };
            readFields(child, fields, entry, errors);
            target.emplace(Id { name }, std::move(entry));
        }
    }

    // Checks that every referenced name is defined, and the constraints that span several fields or entries.
    class ReferenceChecker {
    public:
        ReferenceChecker(const Configuration& configuration, const DocumentNode& root, std::vector<DocumentError>& errors)
            : m_configuration(configuration)
            , m_root(root)
            , m_errors(errors)
        {
        }

        void check()
        {
            const auto& c = m_configuration;
            if (c.ranks.empty())
                m_errors.push_back({ m_root.location, "ranks: expected at least one rank" });
            checkRanks();
            for (const auto& [id, it] : c.models)
                checkReference(c.versions, it.current, "models", id.value, "current");
            for (const auto& [id, it] : c.versions)
                checkReference(c.models, it.model, "versions", id.value, "model");
            for (const auto& [id, it] : c.cascades)
                checkReferences(c.models, it.steps, "cascades", id.value, "steps");
            for (const auto& [id, it] : c.teams)
                checkTeam(it);
            for (const auto& [id, it] : c.services)
                checkReference(c.ranks, RankId { it.rank }, "services", id.value, "rank");
            for (const auto& [id, it] : c.upstreams)
                checkUpstream(it);
            for (const auto& [id, it] : c.rollouts)
                checkRollout(it);
        }

    private:
        SourceLocation locationOf(const std::string& section, const std::string& name, const std::string& key) const
        {
            const auto& entry = m_root.members.at(section).members.at(name);
            auto it = entry.members.find(key);
            return it == entry.members.end() ? entry.location : it->second.location;
        }
        void fail(const std::string& section, const std::string& name, const std::string& key, const std::string& message)
        {
            m_errors.push_back({ locationOf(section, name, key), section + "." + name + "." + key + ": " + message });
        }
        template <typename Id, typename T>
        void checkReference(const std::map<Id, T>& defined, const Id& id, const char* section, const std::string& name, const char* key)
        {
            if (!id.empty() && !defined.contains(id))
                fail(section, name, key, "found '" + id.value + "', which is not defined");
        }
        template <typename Id, typename T>
        void checkReferences(const std::map<Id, T>& defined, const std::vector<std::string>& ids, const char* section, const std::string& name, const char* key)
        {
            for (const auto& it : ids)
                checkReference(defined, Id { it }, section, name, key);
        }
        void checkRanks()
        {
            std::set<std::int64_t> orders;
            double guaranteed = 0;
            for (const auto& [id, it] : m_configuration.ranks) {
                if (!orders.insert(it.order).second)
                    fail("ranks", id.value, "order", absl::StrCat("found ", it.order, ", which another rank has"));
                guaranteed += it.guaranteedShare;
            }
            if (guaranteed > 1)
                m_errors.push_back({ m_root.members.at("ranks").location, absl::StrCat("ranks: the guaranteed shares add up to ", guaranteed, ", expected at most 1") });
        }
        void checkTeam(const Team& team)
        {
            const auto& c = m_configuration;
            const auto& name = team.id.value;
            checkReferences(c.models, team.models, "teams", name, "models");
            checkReferences(c.versions, team.versions, "teams", name, "versions");
            checkReferences(c.cascades, team.cascades, "teams", name, "cascades");
            checkReferences(c.services, team.services, "teams", name, "services");
            checkReference(c.ranks, RankId { team.highestRank }, "teams", name, "highest_rank");
            for (const auto& digest : team.keyDigests) {
                bool isDigest = digest.size() == 64 && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
                if (!isDigest)
                    fail("teams", name, "key_sha256", "expected 64 lower-case hexadecimal digits");
                if (!m_digests.insert(digest).second)
                    fail("teams", name, "key_sha256", "a key digest is used twice");
            }
        }
        void checkUpstream(const Upstream& upstream)
        {
            const auto& name = upstream.id.value;
            checkReference(m_configuration.versions, upstream.version, "upstreams", name, "version");
            checkReference(m_configuration.services, upstream.service, "upstreams", name, "service");
            if (upstream.version.empty() == upstream.service.empty())
                fail("upstreams", name, "version", "expected either version or service");
            if (upstream.address.find(':') == std::string::npos)
                fail("upstreams", name, "address", "found '" + upstream.address + "', expected ip:port");
        }
        void checkRollout(const Rollout& rollout)
        {
            const auto& name = rollout.model.value;
            const auto& c = m_configuration;
            if (!c.models.contains(rollout.model))
                m_errors.push_back({ locationOf("rollouts", name, ""), "rollouts: model '" + name + "' is not defined" });
            for (const auto& [key, id] : { std::pair { "from", rollout.from }, std::pair { "to", rollout.to } }) {
                checkReference(c.versions, id, "rollouts", name, key);
                auto it = c.versions.find(id);
                if (it != c.versions.end() && it->second.model != rollout.model)
                    fail("rollouts", name, key, "found '" + id.value + "', a version of another model");
            }
        }

        const Configuration& m_configuration;
        const DocumentNode& m_root;
        std::vector<DocumentError>& m_errors;
        std::set<std::string> m_digests;
    };

    void checkSections(const DocumentNode& root, std::vector<DocumentError>& errors)
    {
        static const std::set<std::string> known { "ranks", "models", "versions", "cascades", "teams", "services", "upstreams", "rollouts", "limits" };
        if (root.kind != DocumentNode::Kind::Map) {
            errors.push_back({ root.location, "expected a map of sections" });
            return;
        }
        for (const auto& [key, child] : root.members) {
            if (!known.contains(key))
                errors.push_back({ child.location, "unknown key '" + key + "'" });
        }
    }

    ParsedConfiguration buildConfiguration(const DocumentNode& root, std::vector<DocumentError> errors)
    {
        ParsedConfiguration parsed;
        checkSections(root, errors);
        auto configuration = std::make_shared<Configuration>();
        readSection(root, "ranks", rankFields, configuration->ranks, errors);
        readSection(root, "models", modelFields, configuration->models, errors);
        readSection(root, "versions", versionFields, configuration->versions, errors);
        readSection(root, "cascades", cascadeFields, configuration->cascades, errors);
        readSection(root, "teams", teamFields, configuration->teams, errors);
        readSection(root, "services", serviceFields, configuration->services, errors);
        readSection(root, "upstreams", upstreamFields, configuration->upstreams, errors);
        readSection(root, "rollouts", rolloutFields, configuration->rollouts, errors);
        if (auto it = root.members.find("limits"); it != root.members.end())
            readFields(it->second, limitFields, configuration->limits, errors);
        if (errors.empty())
            ReferenceChecker(*configuration, root, errors).check();
        if (errors.empty()) {
            parsed.configuration = std::move(configuration);
            parsed.text = toJsonText(root);
        }
        parsed.errors = std::move(errors);
        return parsed;
    }

    void appendSection(std::string& page, const std::string& title, const std::string& introduction, const std::vector<FieldDoc>& docs)
    {
        absl::StrAppend(&page, "\n## ", title, "\n\n", introduction, "\n\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n");
        for (const auto& it : docs)
            absl::StrAppend(&page, "| `", it.key, "` | ", it.unit, " | ", it.defaultText, " | ", it.range, " | ", it.description, " |\n");
    }

}

ParsedConfiguration parseConfiguration(const std::string& base, const std::string& baseName, const std::string& overlay, const std::string& overlayName)
{
    std::vector<DocumentError> errors;
    auto root = parseYaml(base, baseName, errors);
    if (!overlay.empty())
        root = mergeTrees(std::move(root), parseYaml(overlay, overlayName, errors));
    return buildConfiguration(root, std::move(errors));
}

ConfigurationReader makeConfigurationReader()
{
    return [](const ConfigurationDocument& document, std::string& error) -> ConfigurationPtr {
        auto parsed = parseConfiguration(document.text, "revision " + std::to_string(document.revision));
        if (!parsed.configuration) {
            error = toString(parsed.errors.front());
            return nullptr;
        }
        parsed.configuration->revision = document.revision;
        return parsed.configuration;
    };
}

std::string configurationReference()
{
    std::string page = "# Configuration\n\n"
                       "Generated by `skylarkhitch config reference`; a test checks that this page matches the code.\n\n"
                       "There are two kinds of files: the *configuration* (one base file and an overlay per site), which is the same for all instances and is\n"
                       "applied with `skylarkhitch config apply`, and the *settings* of one instance, which `skylarkhitchd --settings` reads.\n"
                       "Both are YAML and are validated as a whole; unknown keys are errors. In an overlay, a map is merged key by key, any other value\n"
                       "replaces that of the base, and `null` removes the key.\n";
    appendSection(page, "ranks.NAME", "Priority classes of requests.", describeFields<Rank>(rankFields));
    appendSection(page, "models.NAME", "Models and the versions that serve their new sessions.", describeFields<Model>(modelFields));
    appendSection(page, "versions.NAME", "Versions of models.", describeFields<Version>(versionFields));
    appendSection(page, "cascades.NAME", "Cascades: models to try in order until a response reaches the quality target.", describeFields<Cascade>(cascadeFields));
    appendSection(page, "teams.NAME", "Teams.", describeFields<Team>(teamFields));
    appendSection(page, "services.NAME", "Services that are not model engines.", describeFields<Service>(serviceFields));
    appendSection(page, "upstreams.NAME", "Upstreams: model engines and instances of services.", describeFields<Upstream>(upstreamFields));
    appendSection(page, "rollouts.MODEL", "Active roll-outs, by model.", describeFields<Rollout>(rolloutFields));
    appendSection(page, "limits", "Limits and durations that apply to every instance.", describeFields<Limits>(limitFields));
    appendSection(page, "Settings of one instance", "The file that `skylarkhitchd --settings` reads; `--overlay` merges a second file into it.", describeNodeSettings());
    appendSection(page, "Settings of an instance on a platform that declares routes", "The map `edge`, which must be the only top-level key of such a file. The platform generates the file from `platform/settings.yaml.template`.", describeEdgeSettings());
    return page;
}

}
