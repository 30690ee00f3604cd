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

// Matches ITEM any number of times, given that ITEM matches each IS_PLAIN character alone and
// that no match starts with a character that is neither IS_PLAIN nor IS_START.
template <typename Item, bool (*is_plain) (char), bool (*is_start) (char)>
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
  while (loc.iter () != loc.end () && is_start (*loc.iter ()) && Item::invoke (loc).is_ok ());
  if (at_least_one && loc.iter () == first)
    return none ();
  return ok (region (loc, first, loc.iter ()));
}

inline bool
is_none (char)
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

// Characters of a basic string that are no escape; bytes of UTF-8 sequences count one by one.
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

using fast_key_char = either<lex_alpha, lex_digit, character<'-'>, character<'_'> >;
using fast_comment_char
    = either<lex_non_eol_ascii, lex_utf8_2byte, lex_utf8_3byte, lex_utf8_4byte>;
using fast_digit = either<lex_digit, sequence<lex_underscore, lex_digit> >;
using fast_line = sequence<maybe<lex_ws>, maybe<lex_comment>, lex_newline>;

template <> struct repeat<lex_wschar, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<lex_wschar, is_blank, is_none> (loc, true);
  }
};

template <> struct repeat<fast_key_char, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_key_char, is_key_char, is_none> (loc, true);
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
    return repeat_item<lex_basic_unescaped, is_string_char, is_none> (loc, false);
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

template <> struct repeat<fast_comment_char, unlimited>
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_comment_char, is_comment_char, is_not_ascii> (loc, false);
  }
};

template <> struct repeat<fast_digit, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_digit, is_digit, is_underscore> (loc, true);
  }
};

// Lines without a value.
template <> struct repeat<fast_line, at_least<1> >
{
  static result<region, none_t>
  invoke (location &loc)
  {
    return repeat_item<fast_line, is_newline, is_line_start> (loc, true);
  }
};

// Parts of dates, which are tried on every number.
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

// Dotted keys, which are tried on every key: a bare key without a dot behind it is none.
using fast_dotted_rest = repeat<sequence<lex_dot_sep, lex_simple_key>, at_least<1> >;

template <> struct sequence<lex_simple_key, fast_dotted_rest>
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
    return sequence<lex_simple_key, either<fast_dotted_rest> >::invoke (loc);
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
