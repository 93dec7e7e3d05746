#include "core/requests/explain.h"

#include "core/routing/version_choice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    class Explainer {
    public:
        Explainer(const CoreParts& parts, const ExplainQuestion& question, TimePoint now)
            : m_parts(parts)
            , m_question(question)
            , m_now(now)
        {
        }

        std::vector<std::string> explain()
        {
            if (!m_parts.keeper.current()) {
                say("no configuration is loaded yet: rejected as not_configured");
                return m_lines;
            }
            const auto& configuration = m_parts.configuration();
            say("revision ", configuration.revision, " is active on this instance");
            auto team = configuration.teams.find(m_question.team);
            if (team == configuration.teams.end()) {
                say("no team is named '", m_question.team.value, "'");
                return m_lines;
            }
            auto cascade = configuration.cascades.find({ m_question.target });
            if (cascade == configuration.cascades.end()) {
                explainModel(team->second, { m_question.target });
                return m_lines;
            }
            bool allowed = std::find(team->second.cascades.begin(), team->second.cascades.end(), m_question.target) != team->second.cascades.end();
            say("cascade '", m_question.target, "' with quality target ", cascade->second.qualityTarget, allowed ? "" : ": the team may not use it, rejected as not_allowed");
            for (const auto& model : cascade->second.steps)
                explainModel(team->second, { model });
            say("a cascade starts at the step with the least expected cost; a response below the quality target is escalated to the next step");
            return m_lines;
        }

    private:
        template <typename... Parts>
        void say(const Parts&... parts)
        {
            m_lines.push_back(absl::StrCat(parts...));
        }

        void explainVersion(const Team& team, const Version& version)
        {
            UpstreamNeed need { .version = version.id };
            auto places = static_cast<std::int64_t>(m_parts.upstreams.usableSlots(need, m_now));
            say("  version '", version.id.value, "': ", mayUse(team, version) ? "allowed" : "not allowed", version.withdrawn ? ", withdrawn" : "", ", ",
                healthName(m_parts.evidence.health(version.id)), ", mean rating ", m_parts.evidence.meanRating(version.id), ", ", places, " slots on usable upstreams, up to ",
                m_question.maxTokens * version.costPerOutputToken, " millionths for ", m_question.maxTokens, " tokens");
        }

        void explainModel(const Team& team, const ModelId& model)
        {
            const auto& configuration = m_parts.configuration();
            if (!configuration.models.contains(model)) {
                say("no model or cascade is named '", model.value, "': rejected as unknown_target");
                return;
            }
            say("model '", model.value, "'", mayUseModel(configuration, team, model) ? "" : ": the team may not use it, rejected as not_allowed");
            for (const auto& [id, version] : configuration.versions) {
                if (version.model == model)
                    explainVersion(team, version);
            }
            auto usable = [&](const VersionId& id) {
                return m_parts.evidence.health(id) != VersionHealth::Quarantined && m_parts.upstreams.anyUsable({ .version = id }, m_now);
            };
            // The key selects a version by its hash; a request without a session gets a fixed one.
            auto key = m_question.session.empty() ? std::string("a request of its own") : team.id.value + "/" + m_question.session.value;
            auto chosen = chooseVersion(configuration, team, model, key, usable);
            say("  chosen for a new ", m_question.session.empty() ? "request" : "session", ": ", chosen ? chosen->value : "none, rejected as no_healthy_upstream",
                m_question.session.empty() ? "" : "; a session that has a version already keeps it");
        }

        const CoreParts& m_parts;
        const ExplainQuestion& m_question;
        TimePoint m_now;
        std::vector<std::string> m_lines;
    };

}

std::vector<std::string> explainRequest(const CoreParts& parts, const ExplainQuestion& question, TimePoint now)
{
    return Explainer(parts, question, now).explain();
}

}
