#include "core/requests/explain.h"

#include "core/routing/version_choice.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace skylarkhitch {

namespace {

    class Explainer {
    public:
        Explainer(const CoreComponents& core, const ExplainQuery& question, TimePoint now)
            : m_core(core)
            , m_question(question)
            , m_now(now)
        {
        }

        std::vector<std::string> explain()
        {
            if (!m_core.configManager.current()) {
                addLine("no configuration is known yet: refused as not_configured");
                return m_lines;
            }
            const auto& configuration = m_core.configuration();
            addLine("revision ", configuration.revision, " is active on this instance");
            auto team = configuration.teams.find(m_question.team);
            if (team == configuration.teams.end()) {
                addLine("no team is named '", m_question.team.value, "'");
                return m_lines;
            }
            auto cascade = configuration.cascades.find({ m_question.target });
            if (cascade == configuration.cascades.end()) {
                explainModel(team->second, { m_question.target });
                return m_lines;
            }
            bool allowed = std::find(team->second.cascades.begin(), team->second.cascades.end(), m_question.target) != team->second.cascades.end();
            addLine("cascade '", m_question.target, "' with quality target ", cascade->second.qualityTarget, allowed ? "" : ": the team may not use it, refused as not_allowed");
            for (const auto& model : cascade->second.steps)
                explainModel(team->second, { model });
            addLine("a cascade starts at the step with the least expected cost; a response below the quality target is escalated to the next step");
            return m_lines;
        }

    private:
        template <typename... Parts>
        void addLine(const Parts&... parts)
        {
            m_lines.push_back(absl::StrCat(parts...));
        }

        void explainVersion(const Team& team, const Version& version)
        {
            UpstreamRequirements need { .version = version.id };
            auto slots = static_cast<std::int64_t>(m_core.upstreams.usableSlots(need, m_now));
            addLine("  version '", version.id.value, "': ", mayUse(team, version) ? "allowed" : "not allowed", version.withdrawn ? ", withdrawn" : "", ", ",
                healthName(m_core.evidence.health(version.id)), ", mean rating ", m_core.evidence.meanRating(version.id), ", ", slots, " slots on usable upstreams, up to ",
                m_question.maxTokens * version.costPerOutputToken, " millionths for ", m_question.maxTokens, " tokens");
        }

        void explainModel(const Team& team, const ModelId& model)
        {
            const auto& configuration = m_core.configuration();
            if (!configuration.models.contains(model)) {
                addLine("no model or cascade is named '", model.value, "': refused as unknown_target");
                return;
            }
            addLine("model '", model.value, "'", mayUseModel(configuration, team, model) ? "" : ": the team may not use it, refused as not_allowed");
            for (const auto& [id, version] : configuration.versions) {
                if (version.model == model)
                    explainVersion(team, version);
            }
            auto usable = [&](const VersionId& id) {
                return m_core.evidence.health(id) != VersionHealth::Quarantined && m_core.upstreams.anyUsable({ .version = id }, m_now);
            };
            // The key selects a version by its hash; a request without a session gets a fixed one.
            auto key = m_question.session.empty() ? std::string("a request of its own") : team.id.value + "/" + m_question.session.value;
            auto chosen = chooseVersion(configuration, team, model, key, usable);
            addLine("  chosen for a new ", m_question.session.empty() ? "request" : "session", ": ", chosen ? chosen->value : "none, refused as no_healthy_upstream",
                m_question.session.empty() ? "" : "; a session that has a version already keeps it");
        }

        const CoreComponents& m_core;
        const ExplainQuery& m_question;
        TimePoint m_now;
        std::vector<std::string> m_lines;
    };

}

std::vector<std::string> explainRequest(const CoreComponents& core, const ExplainQuery& question, TimePoint now)
{
    return Explainer(core, question, now).explain();
}

}
