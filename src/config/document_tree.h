#pragma once

// YAML documents as trees that remember where each part was written, so that a base file and its overlay can be
// merged and every error still names file and line.

#include <map>
#include <string>
#include <vector>

namespace skylarkhitch {

// Where something was written.
struct SourcePlace {
    std::string file;
    int line = 0;
};

std::string toString(const SourcePlace&);

// One error in a document.
struct DocumentError {
    SourcePlace place;
    // What was found and what was expected.
    std::string message;
};

std::string toString(const DocumentError&);

struct DocumentNode {
    enum class Kind { Null,
        Scalar,
        List,
        Map };
    Kind kind = Kind::Null;
    SourcePlace place;
    std::string scalar;
    // True for a scalar in quotes, which is text even if it looks like a number.
    bool quoted = false;
    std::vector<DocumentNode> items;
    std::map<std::string, DocumentNode> members;
};

// Parses YAML text. Syntax errors, repeated keys and keys that are not text go to errors.
DocumentNode parseYaml(const std::string& text, const std::string& file, std::vector<DocumentError>& errors);

// Lays an overlay over a base: maps are merged key by key, anything else replaces, and null removes.
DocumentNode mergeTrees(DocumentNode base, const DocumentNode& overlay);

// Writes a tree as JSON, which is how a merged document is stored.
std::string toJsonText(const DocumentNode&);

}
