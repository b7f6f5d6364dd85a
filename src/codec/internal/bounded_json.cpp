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

// Builds a value from the parser's events, with a bound on the nesting.
class bounded_builder : public nlohmann::json_sax<json>
{
public:
    json take_value()
    {
        return std::move(this->root);
    }

    std::string take_problem()
    {
        return std::move(this->problem);
    }

    bool null() override
    {
        return this->add(json());
    }

    bool boolean(bool value) override
    {
        return this->add(json(value));
    }

    bool number_integer(number_integer_t value) override
    {
        return this->add(json(value));
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return this->add(json(value));
    }

    bool number_float(number_float_t value, string_t const&) override
    {
        return this->add(json(value));
    }

    bool string(string_t& value) override
    {
        return this->add(json(std::move(value)));
    }

    bool binary(binary_t&) override
    {
        this->problem = "binary values are not used";
        return false;
    }

    bool start_object(std::size_t) override
    {
        return this->open(json::object());
    }

    bool key(string_t& name) override
    {
        this->next_key = std::move(name);
        return true;
    }

    bool end_object() override
    {
        this->open_values.pop_back();
        return true;
    }

    bool start_array(std::size_t) override
    {
        return this->open(json::array());
    }

    bool end_array() override
    {
        this->open_values.pop_back();
        return true;
    }

    bool parse_error(std::size_t position,
                     std::string const&,
                     nlohmann::detail::exception const&) override
    {
        this->problem = "malformed at byte " + std::to_string(position);
        return false;
    }

private:
    json root;
    // The arrays and objects being read, outermost first.
    std::vector<json*> open_values;
    std::string next_key;
    std::string problem;

    json* place(json&& value)
    {
        if (this->open_values.empty())
        {
            this->root = std::move(value);
            return &this->root;
        }
        json& parent = *this->open_values.back();
        if (parent.is_array())
        {
            parent.push_back(std::move(value));
            return &parent.back();
        }
        json& member = parent[this->next_key];
        member = std::move(value);
        return &member;
    }

    bool add(json&& value)
    {
        this->place(std::move(value));
        return true;
    }

    bool open(json&& value)
    {
        if (this->open_values.size() >= max_json_depth)
        {
            this->problem = "nested too deeply";
            return false;
        }
        this->open_values.push_back(this->place(std::move(value)));
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
            return fail(errc::invalid_input, builder.take_problem());
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
    constexpr bool only_ascii = false;
    return value.dump(
        one_line, ' ', only_ascii, json::error_handler_t::replace);
}

} // namespace plantaintally::codec
