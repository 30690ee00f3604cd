// Faster scanning for toml11 3.7, to be included before <toml.hpp> by toml-parse.cc alone
// (C++).
//
// The library builds a region object, with a shared pointer and a string, for each character,
// and a formatted report for each alternative that does not match, about four on each line of a
// correct document. The specialisations below step over runs of plain characters at once and
// match exactly what the library's own definitions match; the macro keeps of each report only
// its message.
#ifndef FOXTAILRUN_CONFIG_TOML_FAST_H
#define FOXTAILRUN_CONFIG_TOML_FAST_H

#include <algorithm>
#include <string>
#include <toml/lexer.hpp>
#include <toml/source_location.hpp>

namespace toml
{
namespace detail
{

// Matches ITEM any number of times, given that ITEM matches each PLAIN character alone.
template <typename Item, bool (*is_plain) (char)>
result<region, none_t>
repeat_item (location &loc, bool at_least_one)
{
  const auto first = loc.iter ();
  do
    {
      const auto last = std::find_if_not (loc.iter (), loc.end (), is_plain);
      if (last != loc.iter ())
        loc.advance (last - loc.iter ());
    }
  while (loc.iter () != loc.end () && Item::invoke (loc).is_ok ());
  if (at_least_one && loc.iter () == first)
    return none ();
  return ok (region (loc, first, loc.iter ()));
}

inline bool
is_plain_blank (char c)
{
  return c == ' ' || c == '\t';
}

inline bool
is_plain_key (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
         || c == '_';
}

// Characters of a basic string that are no escape; bytes of UTF-8 sequences count one by one.
inline bool
is_plain_string (char c)
{
  unsigned char byte = static_cast<unsigned char> (c);
  return byte == '\t' || (byte >= 0x20 && byte != '"' && byte != '\\' && byte != 0x7F);
}

inline bool
is_plain_ascii (char c)
{
  return static_cast<unsigned char> (c) < 0x80;
}

inline bool
is_plain_comment (char c)
{
  return c == '\t' || (c >= 0x20 && c < 0x7F);
}

using fast_key_char = either<lex_alpha, lex_digit, character<'-'>, character<'_'> >;
using fast_comment_char
    = either<lex_non_eol_ascii, lex_utf8_2byte, lex_utf8_3byte, lex_utf8_4byte>;

template <> struct repeat<lex_wschar, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_wschar, is_plain_blank> (loc, true);
  }
};

template <> struct repeat<fast_key_char, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_key_char, is_plain_key> (loc, true);
  }
};

template <> struct repeat<lex_basic_char, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_basic_char, is_plain_string> (loc, false);
  }
};

template <> struct repeat<lex_basic_unescaped, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_basic_unescaped, is_plain_string> (loc, false);
  }
};

template <> struct repeat<lex_utf8_code, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_utf8_code, is_plain_ascii> (loc, false);
  }
};

template <> struct repeat<fast_comment_char, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_comment_char, is_plain_comment> (loc, false);
  }
};

inline std::string
keep_message (std::string message)
{
  return message;
}

} // namespace detail
} // namespace toml

#define format_underline(message, ...) keep_message (message)

#endif
