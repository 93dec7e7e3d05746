#include "matrix/site_checks.h"

#include "core/routing/version_choice.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace skylarkhitch {

namespace {

    // Requirement: an accepted configuration change takes effect on every entry within this time.
    constexpr Seconds changePropagationLimit { 16 };
    // Time after which an upstream that announced that it is leaving must get no new work.
    constexpr Seconds leavingPropagationLimit { 3 };

    class Checker {
    public:
        explicit Checker(const SimulatedSite& site)
            : m_site(site)
        {
        }

        std::vector<Violation> check()
        {
            readConfiguration();
            checkVersions();
            checkSessions();
            checkBills();
            checkCompleteResponses();
            checkRefusals();
            checkAtMostOnce();
            checkLeavingUpstreams();
            checkRevisions();
            checkEveryCallerAnswered();
            checkGracefulStops();
            return std::move(m_violations);
        }

    private:
        void fail(const char* invariant, std::string what) { m_violations.push_back({ invariant, std::move(what) }); }

        const ObservedRequest* callerOf(const RequestId& id) const
        {
            for (const auto& it : m_site.callers) {
                if (it.request.id == id)
                    return &it;
            }
            return nullptr;
        }

        // Only the newest configuration is needed: earlier ones matter only for withdrawals, and no edit reverses one.
        void readConfiguration()
        {
            m_configuration = parseConfiguration(m_site.newestDocument.text, "stored").configuration;
            m_changedAt = m_site.newestDocument.history.back().at;
        }

        static const Team* teamOf(const Configuration& configuration, const CallerRequest& request)
        {
            for (const auto& [id, team] : configuration.teams) {
                if (team.keyDigests.front() == request.keyDigest)
                    return &team;
            }
            return nullptr;
        }

        void checkVersions()
        {
            for (const auto& run : m_site.runs) {
                const auto* caller = callerOf(run.request);
                const auto* team = caller ? teamOf(*m_configuration, caller->request) : nullptr;
                if (!team)
                    return fail("allowed", run.request.value + " ran for no known team");
                if (run.isCall)
                    continue;
                const auto& version = m_configuration->versions.at(run.version);
                if (!mayUse(*team, version))
                    fail("allowed", run.request.value + " ran on " + run.version.value);
                if (version.withdrawn && run.at > m_changedAt + changePropagationLimit)
                    fail("withdrawn", run.request.value + " ran on " + run.version.value + " after its withdrawal");
            }
        }

        // Checks the runs of each session in the order in which upstreams began them. A session changes its version only
        // when that version is withdrawn. Runs on a withdrawn version are skipped here, since an entry may use it until the
        // withdrawal reaches it.
        void checkSessions()
        {
            std::map<std::string, VersionId> sessionVersions;
            for (const auto& run : m_site.runs) {
                const auto* caller = callerOf(run.request);
                if (!caller || run.isCall || caller->request.session.empty())
                    continue;
                const auto& version = m_configuration->versions.at(run.version);
                if (version.withdrawn)
                    continue;
                auto key = caller->request.session.value + "/" + version.model.value;
                auto [it, isFirst] = sessionVersions.try_emplace(key, run.version);
                if (it->second != run.version)
                    fail("session", key + " moved from " + it->second.value + " to " + run.version.value);
            }
        }

        void checkBills()
        {
            std::map<std::string, int> billed;
            for (const auto& it : m_site.records()) {
                const auto* outcome = std::get_if<Outcome>(&it.entry);
                if (std::holds_alternative<Bill>(it.entry) || (outcome && outcome->bill))
                    ++billed[billedKey(it.key)];
            }
            for (const auto& it : m_site.callers) {
                const auto& requestKey = it.request.idempotencyKey.empty() ? it.request.id.value : it.request.idempotencyKey;
                auto n = billed[requestKey];
                if (it.succeeded() && n == 0)
                    fail("billed once", requestKey + " was answered and not billed");
                if (n > 1)
                    fail("billed once", absl::StrCat(requestKey, " was billed ", n, " times"));
                if (it.errorExecuted() == "no" && n > 0 && it.request.idempotencyKey.empty())
                    fail("billed once", requestKey + " was billed and not run");
            }
        }

        // Extracts the request id or the idempotency key from the key of a record.
        static std::string billedKey(const std::string& key)
        {
            std::string requestKey = key;
            if (absl::EndsWith(requestKey, "/again"))
                requestKey.resize(requestKey.size() - 6);
            return requestKey.substr(requestKey.rfind('/') + 1);
        }

        void checkCompleteResponses()
        {
            for (const auto& it : m_site.callers) {
                if (it.request.kind != CallKind::Chat || !it.succeeded())
                    continue;
                if (!it.request.streamed) {
                    if (it.body != "{\"answer\":\"" + it.request.id.value + "\"}")
                        fail("complete response", it.request.id.value + " got " + it.body);
                    continue;
                }
                // The request's own eight tokens in order, the summary event and the end marker.
                bool whole = it.chunks.size() == 10;
                for (std::size_t n = 0; whole && n < 8; ++n)
                    whole = it.chunks[n] == absl::StrCat("{\"content\":\"", it.request.id.value, ":t", n, "\"}");
                if (!whole)
                    fail("complete response", absl::StrCat(it.request.id.value, " ended cleanly after ", it.chunks.size(), " events"));
            }
        }

        void checkRefusals()
        {
            for (const auto& it : m_site.callers) {
                if (it.errorExecuted() != "no")
                    continue;
                for (const auto& run : m_site.runs) {
                    if (run.request == it.request.id)
                        fail("accurate refusal", it.request.id.value + " ran and was refused as not run (" + it.errorKind() + ")");
                }
            }
        }

        void checkAtMostOnce()
        {
            std::map<std::string, int> runs;
            for (const auto& it : m_site.runs) {
                if (it.isCall)
                    ++runs[it.body];
            }
            for (const auto& [body, n] : runs) {
                if (n > 1)
                    fail("at most once", absl::StrCat(body, " ran ", n, " times"));
            }
        }

        void checkLeavingUpstreams()
        {
            for (const auto& run : m_site.runs) {
                const auto& upstream = m_site.upstreams.at(run.upstream);
                if (upstream.draining && run.at > upstream.drainingSince + leavingPropagationLimit)
                    fail("leaving upstream", run.request.value + " ran on " + run.upstream.value);
            }
        }

        void checkRevisions()
        {
            std::map<std::size_t, Revision> last;
            for (const auto& it : m_site.appliedRevisions) {
                if (it.revision != 0 && it.revision < last[it.entry])
                    fail("revision", absl::StrCat("entry ", it.entry, " went from ", last[it.entry], " to ", it.revision));
                last[it.entry] = it.revision;
            }
        }

        void checkEveryCallerAnswered()
        {
            for (const auto& it : m_site.callers) {
                if (!it.endedAt)
                    fail("answered", it.request.id.value + " has no final response");
            }
        }

        void checkGracefulStops()
        {
            for (const auto& it : m_site.interruptedByStop)
                fail("graceful stop", it.value + " was cut by a planned stop");
        }

        const SimulatedSite& m_site;
        std::shared_ptr<Configuration> m_configuration;
        TimePoint m_changedAt;
        std::vector<Violation> m_violations;
    };

}

std::vector<Violation> checkSite(const SimulatedSite& site)
{
    return Checker(site).check();
}

}
