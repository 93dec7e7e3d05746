#pragma once

// Turns documents into a Configuration: merge of base and overlay, all fields checked, all references resolved. On any error nothing
// is produced, and every error is reported, not just the first.

#include "config/document_tree.h"
#include "core/configuration/config_manager.h"

namespace skylarkhitch {

struct ParsedConfiguration {
    // Null if there are errors.
    std::shared_ptr<Configuration> configuration;
    // The merged document, as it is stored.
    std::string text;
    std::vector<DocumentError> errors;
};

// Parses a base file's text with an overlay's laid over it; an empty overlay changes nothing.
ParsedConfiguration parseConfiguration(const std::string& base, const std::string& baseName, const std::string& overlay = {}, const std::string& overlayName = {});

// Reads stored documents for the core.
ConfigurationReader makeConfigurationReader();

// The reference of every key as a Markdown page; docs/CONFIGURATION.md is its output.
std::string configurationReference();

}
