#pragma once

// YAML documents as trees with source locations, so that errors still name file and line after a base file and its
// overlay have been merged.

#include <map>
#include <string>
#include <vector>

namespace skylarkhitch {

// File and line of a node, for error messages.
struct SourceLocation {
    std::string file;
    int line = 0;
};

std::string toString(const SourceLocation&);

struct DocumentError {
    SourceLocation location;
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
    SourceLocation location;
    std::string scalar;
    // True for a quoted scalar, which is a string even if it looks like a number.
    bool quoted = false;
    std::vector<DocumentNode> items;
    std::map<std::string, DocumentNode> members;
};

// Parses YAML text. Syntax errors, excessive nesting, duplicate keys and keys that are not scalars are appended to errors.
DocumentNode parseYaml(const std::string& text, const std::string& file, std::vector<DocumentError>& errors);

// Merges an overlay into a base: maps are merged key by key, any other value replaces the base's, and null removes the key.
DocumentNode mergeTrees(DocumentNode base, const DocumentNode& overlay);

// Serializes a tree as JSON, the format in which a merged document is stored.
std::string toJsonText(const DocumentNode&);

}
