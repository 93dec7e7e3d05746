#include "config/node_settings.h"
#include "config/parse_configuration.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace skylarkhitch;

namespace {

const std::string base = R"(ranks:
  urgent: { order: 0 }
models:
  small: { current: small-1 }
versions:
  small-1: { model: small, cost_per_output_token: 2 }
)";

std::string readFile(const std::string& name)
{
    std::ifstream in(std::string(SKYLARKHITCH_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::string errorsOf(const ParsedConfiguration& parsed)
{
    std::string all;
    for (const auto& it : parsed.errors)
        all += toString(it) + "\n";
    return all;
}

}

TEST_CASE("a base file and an overlay are parsed")
{
    SECTION("a valid base file is accepted")
    {
        auto parsed = parseConfiguration(base, "base.yaml");
        REQUIRE(errorsOf(parsed) == "");
        CHECK(parsed.configuration->versions.at({ "small-1" }).costPerOutputToken == 2);

        SECTION("its stored form parses to the same configuration")
        {
            std::string error;
            auto again = makeConfigurationReader()({ .revision = 7, .text = parsed.text }, error);
            REQUIRE(again);
            CHECK(again->revision == 7);
            CHECK(again->versions.at({ "small-1" }).costPerOutputToken == 2);
        }
    }
    SECTION("an overlay merges maps, replaces values, and removes keys with null")
    {
        auto parsed = parseConfiguration(base, "base.yaml", "versions:\n  small-1: { cost_per_output_token: 5 }\nranks:\n  urgent: null\n  later: { order: 1 }\n", "site.yaml");
        REQUIRE(errorsOf(parsed) == "");
        CHECK(parsed.configuration->versions.at({ "small-1" }).costPerOutputToken == 5);
        CHECK(parsed.configuration->versions.at({ "small-1" }).model.value == "small");
        CHECK_FALSE(parsed.configuration->ranks.contains({ "urgent" }));
        CHECK(parsed.configuration->ranks.contains({ "later" }));
    }
    SECTION("each error reports file, line, found value and expected value, and no configuration is returned")
    {
        auto parsed = parseConfiguration(base + "limits:\n  retry_share: 3\n  colour: red\n", "base.yaml", "versions:\n  small-1: { quality: good }\n", "site.yaml");
        CHECK_FALSE(parsed.configuration);
        auto errors = errorsOf(parsed);
        CHECK_THAT(errors, Catch::Contains("base.yaml:8: retry_share: found '3', expected a number from 0 to 1"));
        CHECK_THAT(errors, Catch::Contains("base.yaml:9: unknown key 'colour'"));
        CHECK_THAT(errors, Catch::Contains("site.yaml:2: quality: found 'good', expected a number from 0 to 1"));
        CHECK(parsed.errors.size() == 3);
    }
    SECTION("references to undefined names are errors")
    {
        auto parsed = parseConfiguration(base + "teams:\n  design: { key_sha256: [], models: [large] }\n", "base.yaml");
        CHECK_THAT(errorsOf(parsed), Catch::Contains("base.yaml:8: teams.design.models: found 'large', which is not defined"));
    }
    SECTION("syntax errors, duplicate keys, and guaranteed shares over 1 in total are errors")
    {
        CHECK_FALSE(parseConfiguration("ranks: [", "base.yaml").errors.empty());
        CHECK_THAT(errorsOf(parseConfiguration("ranks:\n  a: { order: 0 }\n  a: { order: 1 }\n", "base.yaml")), Catch::Contains("base.yaml:3: key 'a' is given twice"));
        CHECK_THAT(errorsOf(parseConfiguration("ranks:\n  a: { order: 0, guaranteed_share: 0.7 }\n  b: { order: 1, guaranteed_share: 0.6 }\n", "b.yaml")), Catch::Contains("add up to 1.3"));
    }
    SECTION("the sample files of both sites are valid")
    {
        for (const auto* site : { "deploy/hollfelder.yaml", "deploy/magnolia.yaml" })
            CHECK(errorsOf(parseConfiguration(readFile("deploy/base.yaml"), "base", readFile(site), site)) == "");
    }
    SECTION("the reference page matches the generated text")
    {
        CHECK(readFile("docs/CONFIGURATION.md") == configurationReference());
    }
}

TEST_CASE("the settings of an instance are parsed")
{
    std::vector<DocumentError> errors;
    SECTION("missing keys get their default values")
    {
        auto settings = parseNodeSettings(parseYaml("instance: a\ndomain: d\n", "s.yaml", errors), errors);
        REQUIRE(settings);
        CHECK(settings->platform == "memory");
        CHECK(settings->entryAddress == settings->listen);
    }
    SECTION("unknown keys, missing required keys, and a platform without a peer secret are rejected")
    {
        CHECK_FALSE(parseNodeSettings(parseYaml("instance: a\nplatform: 127.0.0.1:1\nbanner: x\n", "s.yaml", errors), errors));
        REQUIRE(errors.size() == 3);
        CHECK(toString(errors[0]) == "s.yaml:3: unknown key 'banner'");
        CHECK_THAT(errors[1].message, Catch::Contains("'domain' is missing"));
        CHECK_THAT(errors[2].message, Catch::Contains("peer_secret"));
    }
}
