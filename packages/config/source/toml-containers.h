// Containers for the values of toml11 3.7; for toml-parse.cc only (C++).
#ifndef FOXTAILRUN_CONFIG_TOML_CONTAINERS_H
#define FOXTAILRUN_CONFIG_TOML_CONTAINERS_H

#include <iterator>
#include <map>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

namespace foxtailrun
{

// A vector with checked front and back: toml11 3.7 accesses the last element of an empty array
// when a table header names it, as in "a = []" before "[a.b]".
template <typename T, typename... Rest> class checked_vector : public std::vector<T, Rest...>
{
public:
  using base = std::vector<T, Rest...>;
  using base::base;

  // The values' move constructor is not noexcept, so std::vector would copy every table when it
  // grows.
  void
  push_back (const T &item)
  {
    grow ();
    base::push_back (item);
  }
  void
  push_back (T &&item)
  {
    grow ();
    base::push_back (std::move (item));
  }
  T &
  front ()
  {
    return this->at (0);
  }
  T &
  back ()
  {
    if (this->empty ())
      throw std::out_of_range ("an empty array that a table header extends");
    return base::back ();
  }
  const T &
  front () const
  {
    return this->at (0);
  }
  const T &
  back () const
  {
    if (this->empty ())
      throw std::out_of_range ("an empty array that a table header extends");
    return base::back ();
  }

private:
  void
  grow ()
  {
    if (this->size () < this->capacity ())
      return;
    base larger;
    larger.reserve (2 * this->size () + 1);
    std::move (this->begin (), this->end (), std::back_inserter (larger));
    base::swap (larger);
  }
};

// A copy-on-write map: the library copies each table about four times and the complete document
// once at the end. The keys are sorted, so that the order of problems does not depend on a hash
// function.
template <typename Key, typename Item, typename... Rest> class shared_map
{
public:
  using base = std::map<Key, Item>;
  using key_type = Key;
  using mapped_type = Item;
  using value_type = typename base::value_type;
  using size_type = typename base::size_type;
  using difference_type = typename base::difference_type;
  using iterator = typename base::iterator;
  using const_iterator = typename base::const_iterator;

  shared_map () : items (std::make_shared<base> ())
  {
  }

  iterator
  begin ()
  {
    return detach ().begin ();
  }
  iterator
  end ()
  {
    return detach ().end ();
  }
  const_iterator
  begin () const
  {
    return items->begin ();
  }
  const_iterator
  end () const
  {
    return items->end ();
  }
  size_type
  size () const
  {
    return items->size ();
  }
  bool
  empty () const
  {
    return items->empty ();
  }
  size_type
  count (const Key &key) const
  {
    return items->count (key);
  }
  iterator
  find (const Key &key)
  {
    return detach ().find (key);
  }
  const_iterator
  find (const Key &key) const
  {
    return items->find (key);
  }
  Item &
  at (const Key &key)
  {
    return detach ().at (key);
  }
  const Item &
  at (const Key &key) const
  {
    return items->at (key);
  }
  Item &
  operator[] (const Key &key)
  {
    return detach ()[key];
  }
  std::pair<iterator, bool>
  insert (const value_type &item)
  {
    return detach ().insert (item);
  }

private:
  base &
  detach ()
  {
    if (items.use_count () > 1)
      items = std::make_shared<base> (*items);
    return *items;
  }

  std::shared_ptr<base> items;
};

} // namespace foxtailrun

#endif
