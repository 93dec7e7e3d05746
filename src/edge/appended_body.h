#pragma once

// A body type for the parser of Boost.Beast that appends received bytes to a string. Unlike string_body, it reserves no memory
// for the stated length of a body, which may be any number.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <string>

namespace skylarkhitch {

struct AppendedBody {
    using value_type = std::string;

    // The names of the class and its functions are those that Boost.Beast requires.
    class reader { // NOLINT(readability-identifier-naming): the name is required
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            auto before = m_body.size();
            for (auto it : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(it.data()), it.size());
            ec = {};
            return m_body.size() - before;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
};

}
