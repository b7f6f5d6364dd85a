#include "codec/bounded_json.hpp"

#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace plantaintally::codec
{

namespace
{

using json = nlohmann::json;

// Builds a value from the parser's events and limits the nesting depth.
class bounded_builder : public nlohmann::json_sax<json>
{
public:
    json take_value()
    {
        return std::move(this->root);
    }

    std::string take_error_message()
    {
        return std::move(this->error_message);
    }

    bool null() override
    {
        return this->add_value(json());
    }

    bool boolean(bool value) override
    {
        return this->add_value(json(value));
    }

    bool number_integer(number_integer_t value) override
    {
        return this->add_value(json(value));
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return this->add_value(json(value));
    }

    bool number_float(number_float_t value, string_t const&) override
    {
        return this->add_value(json(value));
    }

    bool string(string_t& value) override
    {
        return this->add_value(json(std::move(value)));
    }

    bool binary(binary_t&) override
    {
        this->error_message = "binary values are not supported";
        return false;
    }

    bool start_object(std::size_t) override
    {
        return this->open_container(json::object());
    }

    bool key(string_t& name) override
    {
        this->next_key = std::move(name);
        return true;
    }

    bool end_object() override
    {
        this->open_containers.pop_back();
        return true;
    }

    bool start_array(std::size_t) override
    {
        return this->open_container(json::array());
    }

    bool end_array() override
    {
        this->open_containers.pop_back();
        return true;
    }

    bool parse_error(std::size_t position,
                     std::string const&,
                     nlohmann::detail::exception const&) override
    {
        this->error_message = "malformed at byte " + std::to_string(position);
        return false;
    }

private:
    json root;
    // The arrays and objects that are not closed yet, outermost first.
    std::vector<json*> open_containers;
    std::string next_key;
    std::string error_message;

    json* insert(json&& value)
    {
        if (this->open_containers.empty())
        {
            this->root = std::move(value);
            return &this->root;
        }
        json& parent = *this->open_containers.back();
        if (parent.is_array())
        {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        json& member = parent[this->next_key];
        member = std::move(value);
        return &member;
    }

    bool add_value(json&& value)
    {
        this->insert(std::move(value));
        return true;
    }

    bool open_container(json&& value)
    {
        if (this->open_containers.size() >= max_json_depth)
        {
            this->error_message = "nested too deeply";
            return false;
        }
        this->open_containers.push_back(this->insert(std::move(value)));
        return true;
    }
};

template <class Input>
result<json> parse(Input const& input, nlohmann::detail::input_format_t format)
{
    bounded_builder builder;
    try
    {
        if (!json::sax_parse(
                std::begin(input), std::end(input), &builder, format))
        {
            return fail(errc::invalid_input, builder.take_error_message());
        }
    }
    catch (std::exception const& cause)
    {
        return fail(errc::invalid_input, cause.what());
    }
    return builder.take_value();
}

} // namespace

result<json> parse_json(std::string_view text)
{
    return parse(text, nlohmann::detail::input_format_t::json);
}

result<json> parse_message_pack(std::span<std::uint8_t const> bytes)
{
    return parse(bytes, nlohmann::detail::input_format_t::msgpack);
}

std::string write_json(json const& value)
{
    constexpr int one_line = -1;
    constexpr bool ensure_ascii = false;
    return value.dump(
        one_line, ' ', ensure_ascii, json::error_handler_t::replace);
}

} // namespace plantaintally::codec
