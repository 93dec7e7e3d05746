#include "config/document_tree.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace skylarkhitch {

namespace {

    // Maximum nesting depth of a document; valid documents are far shallower.
    constexpr int maxDepth = 32;

    // Converts yaml-cpp nodes to DocumentNodes, recording source locations and reporting duplicate keys.
    class TreeBuilder {
    public:
        TreeBuilder(const std::string& file, std::vector<DocumentError>& errors)
            : m_file(file)
            , m_errors(errors)
        {
        }

        DocumentNode build(const YAML::Node& yaml, int depth = 0)
        {
            DocumentNode node;
            node.location = locationOf(yaml);
            if (depth > maxDepth) {
                m_errors.push_back({ node.location, "nested too deeply" });
                return node;
            }
            switch (yaml.Type()) {
            case YAML::NodeType::Scalar:
                node.kind = DocumentNode::Kind::Scalar;
                node.scalar = yaml.Scalar();
                node.quoted = yaml.Tag() == "!";
                break;
            case YAML::NodeType::Sequence:
                node.kind = DocumentNode::Kind::List;
                for (const auto& it : yaml)
                    node.items.push_back(build(it, depth + 1));
                break;
            case YAML::NodeType::Map:
                node.kind = DocumentNode::Kind::Map;
                for (const auto& it : yaml)
                    addMember(node, it.first, it.second, depth);
                break;
            default:
                break;
            }
            return node;
        }

    private:
        SourceLocation locationOf(const YAML::Node& yaml) const { return { m_file, yaml.Mark().line + 1 }; }

        void addMember(DocumentNode& node, const YAML::Node& key, const YAML::Node& value, int depth)
        {
            if (!key.IsScalar()) {
                m_errors.push_back({ locationOf(key), "key is not a scalar" });
                return;
            }
            auto child = build(value, depth + 1);
            child.location = locationOf(key);
            if (!node.members.emplace(key.Scalar(), std::move(child)).second)
                m_errors.push_back({ locationOf(key), "key '" + key.Scalar() + "' is given twice" });
        }

        const std::string& m_file;
        std::vector<DocumentError>& m_errors;
    };

    nlohmann::json toJson(const DocumentNode& node)
    {
        nlohmann::json json;
        switch (node.kind) {
        case DocumentNode::Kind::Null:
            break;
        case DocumentNode::Kind::Scalar:
            json = node.scalar;
            break;
        case DocumentNode::Kind::List:
            json = nlohmann::json::array();
            for (const auto& it : node.items)
                json.push_back(toJson(it));
            break;
        case DocumentNode::Kind::Map:
            json = nlohmann::json::object();
            for (const auto& [key, child] : node.members)
                json[key] = toJson(child);
            break;
        }
        return json;
    }

}

std::string toString(const SourceLocation& location)
{
    return location.file + ":" + std::to_string(location.line);
}

std::string toString(const DocumentError& error)
{
    return toString(error.location) + ": " + error.message;
}

DocumentNode parseYaml(const std::string& text, const std::string& file, std::vector<DocumentError>& errors)
{
    try {
        return TreeBuilder(file, errors).build(YAML::Load(text));
    } catch (const YAML::Exception& e) {
        errors.push_back({ { file, e.mark.line + 1 }, e.msg });
        return {};
    }
}

DocumentNode mergeTrees(DocumentNode base, const DocumentNode& overlay)
{
    if (base.kind != DocumentNode::Kind::Map || overlay.kind != DocumentNode::Kind::Map)
        return overlay;
    for (const auto& [key, child] : overlay.members) {
        if (child.kind == DocumentNode::Kind::Null)
            base.members.erase(key);
        else if (auto it = base.members.find(key); it != base.members.end())
            it->second = mergeTrees(std::move(it->second), child);
        else
            base.members.emplace(key, child);
    }
    return base;
}

std::string toJsonText(const DocumentNode& node)
{
    return toJson(node).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
