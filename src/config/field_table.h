#pragma once

// Reads the maps of a document into structs by tables of member pointers. A table gives the member, unit, range and
// description of each key, and is also the source of docs/CONFIGURATION.md.

#include "config/document_tree.h"
#include "core/ids.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <variant>

namespace skylarkhitch {

// Inclusive bounds of a number; ignored for members of other types.
struct Range {
    double min = 0;
    double max = 1e15;
};

// Pointer to a member of one of the types that a table can read.
template <typename T>
using FieldMember = std::variant<std::string T::*, double T::*, std::int64_t T::*, bool T::*, Milliseconds T::*, Seconds T::*,
    std::vector<std::string> T::*, ModelId T::*, VersionId T::*, ServiceId T::*, DomainId T::*, InstanceId T::*>;

// Describes one key of a map and the member into which its value is read.
template <typename T>
struct Field {
    const char* key;
    FieldMember<T> member;
    // For documentation only; a duration is read as a whole number in the unit of its type.
    const char* unit;
    Range range;
    bool required;
    const char* description;
};

namespace Internal {

    // Parses one value into one member. An error says what was found and what was expected.
    template <typename T>
    class MemberReader {
    public:
        MemberReader(T& target, const Field<T>& field, const DocumentNode& node, std::vector<DocumentError>& errors)
            : m_target(target)
            , m_field(field)
            , m_node(node)
            , m_errors(errors)
        {
        }

        void operator()(std::string T::*member) { readString(m_target.*member); }
        void operator()(double T::*member)
        {
            double value = 0;
            if (readNumber(value))
                m_target.*member = value;
        }
        void operator()(std::int64_t T::*member) { readInteger(m_target.*member); }
        void operator()(Milliseconds T::*member) { readDuration(m_target.*member); }
        void operator()(Seconds T::*member) { readDuration(m_target.*member); }
        void operator()(bool T::*member)
        {
            bool isTrue = m_node.scalar == "true";
            if (m_node.kind != DocumentNode::Kind::Scalar || (!isTrue && m_node.scalar != "false"))
                return fail("true or false");
            m_target.*member = isTrue;
        }
        void operator()(std::vector<std::string> T::*member)
        {
            if (m_node.kind != DocumentNode::Kind::List)
                return fail("a list");
            (m_target.*member).clear();
            for (const auto& it : m_node.items) {
                if (it.kind != DocumentNode::Kind::Scalar)
                    return fail("a list of strings");
                (m_target.*member).push_back(it.scalar);
            }
        }
        template <typename Tag>
        void operator()(StrongId<Tag> T::*member)
        {
            readString((m_target.*member).value);
        }

    private:
        void fail(const std::string& expected)
        {
            const char* kinds[] = { "nothing", "", "a list", "a map" };
            auto found = m_node.kind == DocumentNode::Kind::Scalar ? "'" + m_node.scalar + "'" : std::string(kinds[static_cast<int>(m_node.kind)]);
            m_errors.push_back({ m_node.location, absl::StrCat(m_field.key, ": found ", found, ", expected ", expected) });
        }
        void readString(std::string& target)
        {
            if (m_node.kind != DocumentNode::Kind::Scalar || m_node.scalar.empty())
                return fail("a string");
            target = m_node.scalar;
        }
        bool readNumber(double& value)
        {
            bool isNumber = m_node.kind == DocumentNode::Kind::Scalar && absl::SimpleAtod(m_node.scalar, &value);
            if (isNumber && value >= m_field.range.min && value <= m_field.range.max)
                return true;
            fail(absl::StrCat("a number from ", m_field.range.min, " to ", m_field.range.max));
            return false;
        }
        void readInteger(std::int64_t& target)
        {
            std::int64_t value = 0;
            bool isInteger = m_node.kind == DocumentNode::Kind::Scalar && absl::SimpleAtoi(m_node.scalar, &value);
            auto real = static_cast<double>(value);
            if (!isInteger || real < m_field.range.min || real > m_field.range.max)
                return fail(absl::StrCat("a whole number from ", m_field.range.min, " to ", m_field.range.max));
            target = value;
        }
        template <typename Duration>
        void readDuration(Duration& target)
        {
            std::int64_t n = target.count();
            readInteger(n);
            target = Duration(n);
        }

        T& m_target;
        const Field<T>& m_field;
        const DocumentNode& m_node;
        std::vector<DocumentError>& m_errors;
    };

}

// Fills the target from a map; a member whose key is absent keeps its value. Unknown keys, invalid values and missing required
// keys are appended to errors.
template <typename T, typename Table>
void readFields(const DocumentNode& node, const Table& fields, T& target, std::vector<DocumentError>& errors)
{
    if (node.kind != DocumentNode::Kind::Map) {
        errors.push_back({ node.location, "expected a map" });
        return;
    }
    for (const auto& member : node.members) {
        auto it = std::find_if(std::begin(fields), std::end(fields), [&](const auto& field) { return member.first == field.key; });
        if (it == std::end(fields)) {
            errors.push_back({ member.second.location, "unknown key '" + member.first + "'" });
            continue;
        }
        std::visit(Internal::MemberReader<T>(target, *it, member.second, errors), it->member);
    }
    for (const auto& field : fields) {
        if (field.required && !node.members.contains(field.key))
            errors.push_back({ node.location, absl::StrCat("key '", field.key, "' is missing") });
    }
}

// One row of the configuration reference.
struct FieldDoc {
    std::string key;
    std::string unit;
    std::string defaultText;
    std::string range;
    std::string description;
};

namespace Internal {

    // Formats a member's default value as text.
    template <typename T>
    struct DefaultFormatter {
        T target {};
        std::string operator()(std::string T::*member) const { return target.*member; }
        std::string operator()(double T::*member) const { return absl::StrCat(target.*member); }
        std::string operator()(std::int64_t T::*member) const { return absl::StrCat(target.*member); }
        std::string operator()(bool T::*member) const { return target.*member ? "true" : "false"; }
        std::string operator()(Milliseconds T::*member) const { return absl::StrCat((target.*member).count()); }
        std::string operator()(Seconds T::*member) const { return absl::StrCat((target.*member).count()); }
        std::string operator()(std::vector<std::string> T::*) const { return "[]"; }
        template <typename Tag>
        std::string operator()(StrongId<Tag> T::*member) const
        {
            return (target.*member).value;
        }
    };

    template <typename T>
    bool isNumeric(const FieldMember<T>& member)
    {
        return std::holds_alternative<double T::*>(member) || std::holds_alternative<std::int64_t T::*>(member)
            || std::holds_alternative<Milliseconds T::*>(member) || std::holds_alternative<Seconds T::*>(member);
    }

}

// Returns one row for each field, with the default from a value-initialized T.
template <typename T, typename Table>
std::vector<FieldDoc> describeFields(const Table& fields)
{
    std::vector<FieldDoc> docs;
    for (const Field<T>& it : fields) {
        auto range = Internal::isNumeric<T>(it.member) ? absl::StrCat(it.range.min, " to ", it.range.max) : std::string("-");
        auto text = std::visit(Internal::DefaultFormatter<T> {}, it.member);
        if (it.required)
            text = "required";
        docs.push_back({ it.key, it.unit, text.empty() ? "-" : text, range, it.description });
    }
    return docs;
}

}
