#pragma once

// YAML documents as trees with source locations, so that errors still name file and line after a base file and its
// overlay have been merged.

#include <map>
#include <string>
#include <vector>

namespace skylarkhitch {

// File and line of a node, for error messages. The line is 0 if the error concerns the file as a whole.
struct SourceLocation {
    std::string file;
    int line = 0;
};

std::string toString(const SourceLocation&);

struct DocumentError {
    SourceLocation location;
    // What is wrong; for an invalid value, what was found and what was expected.
    std::string message;
};

std::string toString(const DocumentError&);

// One value of a document. The location of a map member is that of its key.
struct DocumentNode {
    enum class Kind { Null,
        Scalar,
        List,
        Map };
    Kind kind = Kind::Null;
    SourceLocation location;
    // Text of a scalar, without quotes and with escapes resolved.
    std::string scalar;
    // True for a quoted scalar. Readers ignore it: a quoted number is accepted where a number is expected.
    bool quoted = false;
    std::vector<DocumentNode> items;
    std::map<std::string, DocumentNode> members;
};

// Parses YAML text. Syntax errors, excessive nesting, duplicate keys and keys that are not scalars are appended to errors;
// after a syntax error the result is a null node.
DocumentNode parseYaml(const std::string& text, const std::string& file, std::vector<DocumentError>& errors);

// Merges an overlay into a base. Maps are merged key by key: null removes a key of the base, and any other value replaces
// the base's. If either root is not a map, the overlay replaces the base, even an overlay whose root is null.
DocumentNode mergeTrees(DocumentNode base, const DocumentNode& overlay);

// Serializes a tree as JSON, the format in which a merged document is stored. Every scalar becomes a JSON string.
std::string toJsonText(const DocumentNode&);

}
