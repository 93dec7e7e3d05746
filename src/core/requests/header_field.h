#pragma once

// HTTP header fields as received: names keep their case and repeated fields keep their order.

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhitch {

struct HeaderField {
    std::string name;
    std::string value;
};

using HeaderFields = std::vector<HeaderField>;

// Compares field names, which are case-insensitive.
inline bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()), absl::string_view(b.data(), b.size()));
}

// Returns the first field with the given name, or null.
inline const HeaderField* findField(const HeaderFields& fields, std::string_view name)
{
    for (const auto& it : fields) {
        if (equalsIgnoringCase(it.name, name))
            return &it;
    }
    return nullptr;
}

}
