// Faster lexers for toml11 3.7; for toml-parse.cc only, before <toml.hpp> (C++).
//
// The library creates a region object, with a shared pointer and a string, for each character,
// and formats an error report for each alternative that does not match, about four per line of
// a valid document. The specialisations below skip runs of characters at once and match exactly
// what the library's definitions match; the macro reduces an error report to its message.
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

// Matches ITEM any number of times. ITEM must match every single IS_SINGLE character, and every
// other match must start with an IS_START character.
template <typename Item, bool (*is_single) (char), bool (*is_start) (char)>
result<region, none_t>
repeat_item (location &loc, bool at_least_one)
{
  const auto first = loc.iter ();
  do
    {
      const auto last = std::find_if_not (loc.iter (), loc.end (), is_single);
      if (last != loc.iter ())
        loc.advance (last - loc.iter ());
    }
  while (loc.iter () != loc.end () && is_start (*loc.iter ()) && Item::invoke (loc).is_ok ());
  if (at_least_one && loc.iter () == first)
    return none ();
  return ok (region (loc, first, loc.iter ()));
}

inline bool
is_no_char (char)
{
  return false;
}

inline bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

inline bool
is_newline (char c)
{
  return c == '\n';
}

inline bool
is_line_start (char c)
{
  return is_blank (c) || c == '#' || c == '\r';
}

inline bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

inline bool
is_underscore (char c)
{
  return c == '_';
}

inline bool
is_key_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || is_digit (c) || c == '-'
         || c == '_';
}

// Returns whether C is a byte of a basic string outside of escapes, such as of a UTF-8
// sequence.
inline bool
is_string_char (char c)
{
  unsigned char byte = static_cast<unsigned char> (c);
  return byte == '\t' || (byte >= 0x20 && byte != '"' && byte != '\\' && byte != 0x7F);
}

inline bool
is_backslash (char c)
{
  return c == '\\';
}

inline bool
is_ascii (char c)
{
  return static_cast<unsigned char> (c) < 0x80;
}

inline bool
is_not_ascii (char c)
{
  return !is_ascii (c);
}

inline bool
is_comment_char (char c)
{
  return c == '\t' || (c >= 0x20 && c < 0x7F);
}

using key_char_lexer = either<lex_alpha, lex_digit, character<'-'>, character<'_'> >;
using comment_char_lexer
    = either<lex_non_eol_ascii, lex_utf8_2byte, lex_utf8_3byte, lex_utf8_4byte>;
using digit_lexer = either<lex_digit, sequence<lex_underscore, lex_digit> >;
using blank_line_lexer = sequence<maybe<lex_ws>, maybe<lex_comment>, lex_newline>;

template <> struct repeat<lex_wschar, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_wschar, is_blank, is_no_char> (loc, true);
  }
};

template <> struct repeat<key_char_lexer, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<key_char_lexer, is_key_char, is_no_char> (loc, true);
  }
};

template <> struct repeat<lex_basic_char, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_basic_char, is_string_char, is_backslash> (loc, false);
  }
};

template <> struct repeat<lex_basic_unescaped, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_basic_unescaped, is_string_char, is_no_char> (loc, false);
  }
};

template <> struct repeat<lex_utf8_code, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_utf8_code, is_ascii, is_not_ascii> (loc, false);
  }
};

template <> struct repeat<comment_char_lexer, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<comment_char_lexer, is_comment_char, is_not_ascii> (loc, false);
  }
};

template <> struct repeat<digit_lexer, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<digit_lexer, is_digit, is_underscore> (loc, true);
  }
};

// Lines without a value.
template <> struct repeat<blank_line_lexer, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<blank_line_lexer, is_newline, is_line_start> (loc, true);
  }
};

// Parts of dates, which the library tries to match at every number.
template <std::size_t N> struct repeat<lex_digit, exactly<N> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    const auto first = loc.iter ();
    if (static_cast<std::size_t> (std::distance (first, loc.end ())) < N
        || !std::all_of (first, std::next (first, N), is_digit))
      return none ();
    loc.advance (N);
    return ok (region (loc, first, loc.iter ()));
  }
};

// Dotted keys, which the library tries to match at every key. A bare key that no dot follows is
// not one.
using dotted_rest_lexer = repeat<sequence<lex_dot_sep, lex_simple_key>, at_least<1> >;

template <> struct sequence<lex_simple_key, dotted_rest_lexer>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    auto next = std::find_if_not (loc.iter (), loc.end (), is_key_char);
    if (next != loc.iter ())
      {
        next = std::find_if_not (next, loc.end (), is_blank);
        if (next == loc.end () || *next != '.')
          return none ();
      }
    return sequence<lex_simple_key, either<dotted_rest_lexer> >::invoke (loc);
  }
};

inline std::string
get_message (std::string message)
{
  return message;
}

} // namespace detail
} // namespace toml

#define format_underline(message, ...) get_message (message)

#endif
