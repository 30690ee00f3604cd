// Parses TOML, with toml11 where the subset does not suffice, into a tree of C structures.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <deque>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "toml-containers.h"
#include "toml-lexer.h"
#include <toml.hpp>

extern "C"
{
#include "toml-subset.h"
}

namespace
{

using value = toml::basic_value<toml::discard_comments, foxtailrun::shared_map,
                                foxtailrun::checked_vector>;

// Maximum length of a line quoted in a syntax error.
constexpr size_t QUOTE_MAX_BYTES = 60;

} // namespace

struct fc_toml_document
{
  value root;
  fb_str_t text;
  std::vector<size_t> lines; // offset of the first byte of each line
  std::deque<fc_toml_t> nodes;
};

namespace
{

// Sets the line and the source of NODE to those of SOURCE. The line number of the region is not
// used, as the library counts the lines from the start of the text on each call.
void
set_location (const fc_toml_document &document, const value &source, fc_toml_t &node)
{
  auto region = dynamic_cast<const toml::detail::region *> (toml::detail::get_region (source));
  if (region == nullptr)
    return;
  size_t first = static_cast<size_t> (region->first () - region->begin ());
  size_t last = static_cast<size_t> (region->last () - region->begin ());
  if (first > last || last > document.text.len)
    return;
  auto line = std::upper_bound (document.lines.begin (), document.lines.end (), first);
  node.line = static_cast<uint32_t> (line - document.lines.begin ());
  node.source = fb_str_t{ document.text.data + first, last - first };
}

fc_toml_t *convert (fc_toml_document &document, const value &source, fb_str_t key);

void
append_child (fc_toml_t &parent, fc_toml_t *&last, fc_toml_t *child)
{
  if (last == nullptr)
    parent.child = child;
  else
    last->next = child;
  last = child;
  parent.count++;
}

void
convert_children (fc_toml_document &document, const value &source, fc_toml_t &node)
{
  fc_toml_t *last = nullptr;
  if (source.is_table ())
    for (const auto &item : source.as_table (std::nothrow))
      append_child (
          node, last,
          convert (document, item.second, fb_str_t{ item.first.data (), item.first.size () }));
  else
    for (const auto &item : source.as_array (std::nothrow))
      append_child (node, last, convert (document, item, fb_str_t{ "", 0 }));
}

fc_toml_t *
convert (fc_toml_document &document, const value &source, fb_str_t key)
{
  document.nodes.emplace_back ();
  fc_toml_t &node = document.nodes.back ();
  node.key = key;
  set_location (document, source, node);
  switch (source.type ())
    {
    case toml::value_t::table:
    case toml::value_t::array:
      node.kind = source.is_table () ? FC_TOML_TABLE : FC_TOML_ARRAY;
      convert_children (document, source, node);
      break;
    case toml::value_t::string:
      {
        const std::string &text = source.as_string (std::nothrow).str;
        node.kind = FC_TOML_STRING;
        node.text = fb_str_t{ text.data (), text.size () };
        break;
      }
    case toml::value_t::integer:
      node.kind = FC_TOML_INTEGER;
      node.integer = source.as_integer (std::nothrow);
      node.number = static_cast<double> (node.integer);
      break;
    case toml::value_t::floating:
      node.kind = FC_TOML_FLOAT;
      node.number = source.as_floating (std::nothrow);
      break;
    case toml::value_t::boolean:
      node.kind = FC_TOML_BOOLEAN;
      node.integer = source.as_boolean (std::nothrow) ? 1 : 0;
      break;
    default:
      node.kind = FC_TOML_TIME;
      break;
    }
  return &node;
}

void
index_lines (fc_toml_document &document)
{
  document.lines.push_back (0);
  for (size_t i = 0; i < document.text.len; i++)
    if (document.text.data[i] == '\n')
      document.lines.push_back (i + 1);
}

// Returns the message of "toml::function: message".
std::string
extract_message (const char *what)
{
  std::string message (what, std::strcspn (what, "\n"));
  size_t start = message.find ("toml::");
  size_t colon = start == std::string::npos ? start : message.find (": ", start);
  if (colon != std::string::npos)
    message.erase (0, colon + 2);
  if (!message.empty () && message.back () == '.')
    message.pop_back ();
  return message.empty () ? "a value is malformed" : message;
}

// Returns line NUMBER, truncated and without surrounding blanks.
std::string
quote_line (fb_str_t text, size_t number)
{
  const char *line = text.data;
  const char *end = text.data + text.len;
  for (size_t i = 1; i < number && line < end; i++)
    {
      line = std::find (line, end, '\n');
      line += line < end;
    }
  end = std::find (line, end, '\n');
  while (line < end && (*line == ' ' || *line == '\t'))
    line++;
  while (line < end && static_cast<unsigned char> (end[-1]) <= ' ')
    end--;
  std::string quote (line, std::min (static_cast<size_t> (end - line), QUOTE_MAX_BYTES));
  while (!quote.empty () && quote.size () < static_cast<size_t> (end - line)
         && (static_cast<unsigned char> (line[quote.size ()]) & 0xC0) == 0x80)
    quote.pop_back (); // not within a UTF-8 sequence
  if (quote.empty ())
    return "the end of the file";
  return "'" + quote + "'";
}

void
report_syntax_error (fb_str_t text, uint32_t line, const std::string &message,
                     fc_problems_t *problems)
{
  fc_add_problem (problems, line, "syntax", quote_line (text, line).c_str (),
                  ("valid TOML (" + message + ")").c_str ());
}

fc_toml_t *
create_node (void *user)
{
  auto document = static_cast<fc_toml_document *> (user);
  document->nodes.emplace_back ();
  return &document->nodes.back ();
}

// Parses TEXT without the library; returns a null pointer when it is not within the subset.
std::unique_ptr<fc_toml_document>
parse_subset (fb_str_t text)
{
  std::unique_ptr<fc_toml_document> document (new fc_toml_document ());
  document->text = text;
  if (!fc_parse_toml_subset (text, create_node, document.get ()))
    document.reset ();
  return document;
}

} // namespace

extern "C" fc_toml_document_t *
fc_parse_toml (fb_str_t text, fc_problems_t *problems)
{
  try
    {
      if (auto document = parse_subset (text))
        return document.release ();
      return fc_parse_toml_library (text, problems);
    }
  catch (const std::exception &error)
    {
      fc_add_problem (problems, 0, "syntax", error.what (), "valid TOML");
    }
  return nullptr;
}

extern "C" fc_toml_document_t *
fc_parse_toml_library (fb_str_t text, fc_problems_t *problems)
{
  try
    {
      std::unique_ptr<fc_toml_document> document (new fc_toml_document ());
      std::istringstream stream (std::string (text.data, text.len));
      document->text = text;
      document->root = toml::parse<toml::discard_comments, foxtailrun::shared_map,
                                   foxtailrun::checked_vector> (stream, "");
      index_lines (*document);
      convert (*document, document->root, fb_str_t{ "", 0 });
      return document.release ();
    }
  catch (const toml::exception &error)
    {
      report_syntax_error (text, error.location ().line (), extract_message (error.what ()),
                           problems);
    }
  catch (const std::exception &error)
    {
      fc_add_problem (problems, 0, "syntax", error.what (), "valid TOML");
    }
  catch (...)
    {
      fc_add_problem (problems, 0, "syntax", "an unknown parser error", "valid TOML");
    }
  return nullptr;
}

extern "C" const fc_toml_t *
fc_get_toml_root (const fc_toml_document_t *document)
{
  return &document->nodes.front ();
}

extern "C" void
fc_destroy_toml (fc_toml_document_t *document)
{
  delete document;
}
