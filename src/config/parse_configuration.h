#pragma once

// Builds a Configuration from YAML documents: merges base and overlay, then checks all fields and references. On any error
// no configuration is produced, and all errors found are reported, not just the first. References are checked only if
// all fields are valid.

#include "config/document_tree.h"
#include "core/configuration/config_manager.h"

namespace skylarkhitch {

struct ParsedConfiguration {
    // Null if there are errors.
    std::shared_ptr<Configuration> configuration;
    // The merged document as JSON, as it is stored; empty if there are errors.
    std::string text;
    std::vector<DocumentError> errors;
};

// Parses a base document merged with an overlay; an overlay without any text is ignored. The names stand for the documents in
// error messages.
ParsedConfiguration parseConfiguration(const std::string& base, const std::string& baseName, const std::string& overlay = {}, const std::string& overlayName = {});

// Returns the function with which the core parses stored configuration documents; it reports only the first error.
ConfigurationReader makeConfigurationReader();

// Returns the reference of all keys as a Markdown page; docs/CONFIGURATION.md is its output.
std::string configurationReference();

}
