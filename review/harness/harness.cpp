#include "harness.hpp"
#include <random>

namespace review
{

static Clock::time_point start_time = Clock::now ();
static FILE *record_file;
static std::mutex record_mutex;
static std::string temporary_folder;
static int network[2];
static std::vector<Node *> nodes;
static std::mutex id_mutex;
static std::mt19937_64 id_source{ std::random_device{}() };

double
now_ms ()
{
  return std::chrono::duration<double, std::milli> (Clock::now () - start_time).count ();
}

void
sleep_ms (double ms)
{
  if (ms > 0)
    std::this_thread::sleep_for (std::chrono::duration<double, std::milli> (ms));
}

void
sleep_until_ms (double at)
{
  sleep_ms (at - now_ms ());
}

void
record (const char *format, ...)
{
  std::lock_guard<std::mutex> lock (record_mutex);
  va_list arguments;

  if (!record_file)
    return;
  fprintf (record_file, "%9.1f ", now_ms ());
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
}

bool
has_trouble ()
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

std::string
new_attempt_id ()
{
  std::lock_guard<std::mutex> lock (id_mutex);
  char text[24];

  snprintf (text, sizeof text, "%016llx", (unsigned long long)id_source ());
  return text;
}

std::string
Message::get (const std::string &name) const
{
  for (const auto &header : headers)
    if (header.first == name)
      return header.second;
  return "";
}

std::string
Message::method () const
{
  return first_line.substr (0, first_line.find (' '));
}

std::string
Message::path () const
{
  size_t begin = first_line.find (' ') + 1;

  return first_line.substr (begin, first_line.find (' ', begin) - begin);
}

int
Message::status () const
{
  return first_line.size () > 9 ? atoi (first_line.c_str () + 9) : 0;
}

Stream::~Stream ()
{
  if (fd >= 0)
    close (fd);
}

bool
Stream::send_all (const std::string &text)
{
  size_t sent = 0;

  while (sent < text.size ())
    {
      ssize_t length = ::send (fd, text.data () + sent, text.size () - sent, MSG_NOSIGNAL);

      if (length <= 0)
        return false;
      sent += (size_t)length;
    }
  return true;
}

bool
Stream::is_closed_by_peer ()
{
  char byte;
  ssize_t length = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return length == 0 || (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// Receives more input until DEADLINE. Returns complete when there was some.
static Read
receive_more (Stream &stream, double deadline)
{
  struct pollfd poller = { stream.fd, POLLIN, 0 };
  double left = deadline - now_ms ();
  char bytes[65536];
  ssize_t length;

  if (left <= 0 || poll (&poller, 1, (int)left + 1) <= 0)
    return Read::timeout;
  length = recv (stream.fd, bytes, sizeof bytes, 0);
  if (length < 0)
    return Read::reset;
  if (length == 0)
    return Read::closed;
  stream.input.append (bytes, (size_t)length);
  return Read::complete;
}

static void
parse_head (const std::string &head, Message &message)
{
  size_t at = head.find ("\r\n");

  message.first_line = head.substr (0, at);
  while (at != std::string::npos && at + 2 < head.size ())
    {
      size_t begin = at + 2;
      size_t end = head.find ("\r\n", begin);
      size_t colon = head.find (':', begin);
      std::string name, value;

      if (end == std::string::npos)
        end = head.size ();
      if (colon != std::string::npos && colon < end)
        {
          name = head.substr (begin, colon - begin);
          value = head.substr (colon + 1, end - colon - 1);
          for (char &c : name)
            c = (char)tolower (c);
          while (!value.empty () && value[0] == ' ')
            value.erase (0, 1);
          message.headers.emplace_back (name, value);
        }
      at = end;
    }
}

Read
Stream::read (Message &message, bool is_response, double timeout_ms)
{
  double deadline = now_ms () + timeout_ms;
  size_t head_end;
  std::string length_text;

  message = Message ();
  while ((head_end = input.find ("\r\n\r\n")) == std::string::npos)
    {
      Read result = receive_more (*this, deadline);

      if (result == Read::closed && !input.empty ())
        return Read::partial;
      if (result != Read::complete)
        return result;
    }
  parse_head (input.substr (0, head_end), message);
  input.erase (0, head_end + 4);
  length_text = message.get ("content-length");
  if (length_text.empty () && is_response)
    {
      Read result;

      while ((result = receive_more (*this, deadline)) == Read::complete)
        ;
      message.body.swap (input);
      return result == Read::closed ? Read::complete : result;
    }
  while (input.size () < strtoul (length_text.c_str (), nullptr, 10))
    {
      Read result = receive_more (*this, deadline);

      if (result != Read::complete)
        return result == Read::closed ? Read::partial : result;
    }
  message.body = input.substr (0, strtoul (length_text.c_str (), nullptr, 10));
  input.erase (0, message.body.size ());
  return Read::complete;
}

static sockaddr_in
make_address (const std::string &address, int port)
{
  sockaddr_in result{};

  result.sin_family = AF_INET;
  result.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address.c_str (), &result.sin_addr);
  return result;
}

int
connect_to (const std::string &address, int port, double timeout_ms)
{
  sockaddr_in peer = make_address (address, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  int error = 0;
  socklen_t size = sizeof error;
  struct pollfd poller = { fd, POLLOUT, 0 };

  fcntl (fd, F_SETFL, O_NONBLOCK);
  if (connect (fd, (sockaddr *)&peer, sizeof peer) != 0
      && (errno != EINPROGRESS || poll (&poller, 1, (int)timeout_ms) <= 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

std::string
host_address (int number)
{
  char text[32];

  snprintf (text, sizeof text, "127.%d.%d.%d", network[0], network[1], number);
  return text;
}

static int
listen_at (const std::string &address, int port)
{
  sockaddr_in local = make_address (address, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (sockaddr *)&local, sizeof local) == 0 && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

Server::Server (const std::string &address, int port, Handler handler)
    : listener_ (listen_at (address, port)), handler_ (std::move (handler))
{
  if (listener_ < 0)
    cannot_run ("a stand-in cannot listen");
  thread_ = std::thread ([this] { accept_loop (); });
}

void
Server::accept_loop ()
{
  int number = 0;

  while (!stopping_)
    {
      struct pollfd poller = { listener_, POLLIN, 0 };
      int fd;
      int one = 1;

      if (poll (&poller, 1, 50) <= 0)
        continue;
      fd = accept4 (listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      number++;
      {
        std::lock_guard<std::mutex> lock (mutex_);
        open_.insert (fd);
      }
      active_++;
      std::thread ([this, fd, number] {
        {
          Stream stream (fd);

          handler_ (stream, number);
          std::lock_guard<std::mutex> lock (mutex_);
          open_.erase (fd);
        }
        active_--;
      }).detach ();
    }
}

void
Server::stop ()
{
  if (stopping_.exchange (true))
    return;
  thread_.join ();
  close (listener_);
  {
    std::lock_guard<std::mutex> lock (mutex_);
    for (int fd : open_)
      shutdown (fd, SHUT_RDWR);
  }
  for (int i = 0; i < 400 && active_ > 0; i++)
    sleep_ms (10);
}

Server::~Server ()
{
  stop ();
}

static std::string
encode_base64 (const std::string &bytes)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;

  for (size_t i = 0; i < bytes.size (); i += 3)
    {
      unsigned group = 0;
      size_t count = std::min<size_t> (3, bytes.size () - i);

      for (size_t j = 0; j < 3; j++)
        group = group << 8 | (j < count ? (unsigned char)bytes[i + j] : 0);
      for (size_t j = 0; j < 4; j++)
        text += j <= count ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
  return text;
}

static std::string
unescape (const std::string &text)
{
  std::string result;

  for (size_t i = 0; i < text.size (); i++)
    if (text[i] == '%' && i + 2 < text.size ())
      {
        result += (char)strtol (text.substr (i + 1, 2).c_str (), nullptr, 16);
        i += 2;
      }
    else
      result += text[i];
  return result;
}

static std::map<std::string, std::string>
parse_query (const std::string &path)
{
  std::map<std::string, std::string> query;
  size_t at = path.find ('?');

  while (at != std::string::npos)
    {
      size_t end = path.find ('&', at + 1);
      std::string pair = path.substr (at + 1, end == std::string::npos ? end : end - at - 1);
      size_t equals = pair.find ('=');

      if (equals != std::string::npos)
        query[pair.substr (0, equals)] = unescape (pair.substr (equals + 1));
      at = end;
    }
  return query;
}

Store::Store ()
{
  server_.reset (new Server (host_address (kStoreHost), kStorePort,
                             [this] (Stream &stream, int number) { serve (stream, number); }));
}

void
Store::stop ()
{
  stopping_ = true;
  changed_.notify_all ();
  server_->stop ();
}

void
Store::put (const std::string &key, const std::string &value)
{
  std::lock_guard<std::mutex> lock (mutex_);
  Item &item = items_[key];

  item.value = encode_base64 (value);
  item.revision = ++revision_;
  if (item.created == 0 || item.removed)
    item.created = revision_;
  item.removed = false;
  record ("store: wrote %s at %ld", key.c_str (), revision_);
  changed_.notify_all ();
}

void
Store::remove (const std::string &key)
{
  std::lock_guard<std::mutex> lock (mutex_);
  Item &item = items_[key];

  item.removed = true;
  item.revision = ++revision_;
  record ("store: removed %s at %ld", key.c_str (), revision_);
  changed_.notify_all ();
}

void
Store::silence_open_connections ()
{
  std::lock_guard<std::mutex> lock (mutex_);

  silent_below_ = last_connection_ + 1;
  record ("store: the %d connections made so far go silent", last_connection_);
}

int
Store::cut_watches ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  int count = 0;

  for (const auto &watch : watches_)
    {
      shutdown (watch.second.fd, SHUT_RDWR);
      count++;
    }
  record ("store: cut %d waiting watches", count);
  return count;
}

bool
Store::has_young_watches (size_t count, double ms)
{
  std::lock_guard<std::mutex> lock (mutex_);

  for (const auto &watch : watches_)
    if (now_ms () - watch.second.started > ms)
      return false;
  return watches_.size () == count;
}

void
Store::serve (Stream &stream, int connection)
{
  Message request;

  {
    std::lock_guard<std::mutex> lock (mutex_);
    last_connection_ = std::max (last_connection_, connection);
  }
  while (!stopping_ && stream.read (request, false, 60000) == Read::complete)
    if (!handle (stream, connection, request))
      return;
}

bool
Store::respond (Stream &stream, int connection, int status, const std::string &body)
{
  char head[160];

  {
    std::lock_guard<std::mutex> lock (mutex_);
    if (connection < silent_below_)
      return true;
  }
  snprintf (head, sizeof head,
            "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            status, status == 200 ? "OK" : "Error", body.size ());
  return stream.send_all (head + body);
}

std::string
Store::encode (const std::string &key, const Item &item) const
{
  std::string text = "{\"Key\":\"" + key + "\",";

  if (item.removed)
    return text + "\"Revision\":" + std::to_string (item.revision) + ",\"Compacted\":true}";
  return text + "\"Value\":\"" + item.value
         + "\",\"Revision\":" + std::to_string (item.revision)
         + ",\"CreatedRevision\":" + std::to_string (item.created) + ",\"LeaseId\":0}";
}

bool
Store::handle_watch (Stream &stream, int connection, std::map<std::string, std::string> &query)
{
  long after = atol (query["after"].c_str ());
  double deadline = now_ms () + atof (query["WaitMs"].c_str ());
  std::string prefix = query["PathPrefix"];
  std::string body;

  {
    std::unique_lock<std::mutex> lock (mutex_);
    std::map<long, std::string> events;

    watches_[connection] = { stream.fd, now_ms () };
    for (;;)
      {
        for (const auto &item : items_)
          if (item.second.revision > after
              && item.first.compare (0, prefix.size (), prefix) == 0)
            events[item.second.revision] = encode (item.first, item.second);
        if (!events.empty () || now_ms () >= deadline || stopping_
            || stream.is_closed_by_peer ())
          break;
        changed_.wait_for (lock, std::chrono::milliseconds (5));
      }
    watches_.erase (connection);
    for (const auto &event : events)
      body += (body.empty () ? "" : ",") + event.second;
    body = "{\"events\":[" + body + "],\"At\":" + std::to_string (revision_) + "}";
  }
  return !stream.is_closed_by_peer () && respond (stream, connection, 200, body);
}

bool
Store::handle (Stream &stream, int connection, const Message &request)
{
  std::string path = request.path ();
  auto query = parse_query (path);
  std::string body;
  int status = 200;

  reads_++;
  sleep_ms (4);
  if (path.find ("/foxtailrun/kv-watch?") == 0)
    return handle_watch (stream, connection, query);
  {
    std::lock_guard<std::mutex> lock (mutex_);

    if (path.find ("/foxtailrun/kv-key?") == 0)
      {
        auto item = items_.find (query["Key"]);

        if (item == items_.end () || item->second.removed)
          status = 404;
        else
          body = encode (item->first, item->second);
        if (!body.empty ())
          body.insert (body.size () - 1, ",\"At\":" + std::to_string (revision_));
      }
    else if (path.find ("/foxtailrun/kv-range?") == 0)
      {
        for (const auto &item : items_)
          if (!item.second.removed && item.first > query["after"]
              && item.first.compare (0, query["PathPrefix"].size (), query["PathPrefix"]) == 0)
            body += (body.empty () ? "" : ",") + encode (item.first, item.second);
        body = "{\"items\":[" + body
               + "],\"HasMore\":false,\"At\":" + std::to_string (revision_) + "}";
      }
    else
      status = 404;
  }
  return respond (stream, connection, status, body);
}

Instance::Instance (int host, std::string id, std::string service, int slots, double service_ms)
    : host_ (host), id_ (std::move (id)), service_ (std::move (service)),
      key_ ("servers/" + id_), slots_ (slots), service_ms_ (service_ms),
      born_ (std::chrono::duration_cast<std::chrono::milliseconds> (
                 std::chrono::system_clock::now ().time_since_epoch ())
                 .count ())
{
  server_.reset (new Server (host_address (host), kInstancePort,
                             [this] (Stream &stream, int number) { serve (stream, number); }));
}

void
Instance::set_header (const std::string &name, const std::string &value)
{
  std::lock_guard<std::mutex> lock (mutex_);

  if (value.empty ())
    headers_.erase (name);
  else
    headers_[name] = value;
}

std::string
Instance::entry (const char *state) const
{
  return "{\"Service\":\"" + service_ + "\",\"Address\":\"" + host_address (host_) + ":"
         + std::to_string (kInstancePort) + "\",\"Zone\":\"zone-" + (host_ % 2 ? "a" : "b")
         + "\",\"Version\":\"v1\",\"MaxConcurrency\":" + std::to_string (slots_)
         + ",\"State\":\"" + state
         + "\",\"WarmupLeftMs\":0,\"Sequence\":4,\"born\":" + std::to_string (born_) + "}";
}

std::vector<Arrival>
Instance::arrivals ()
{
  std::lock_guard<std::mutex> lock (mutex_);

  return arrivals_;
}

std::string
Instance::body_of (const std::string &id, const Message &request)
{
  return "instance=" + id + " attempt=" + request.get ("x-attempt-id")
         + " path=" + request.path () + "\n";
}

std::string
Instance::format_answer (const Message &request, bool with_length)
{
  std::string body = body_of (id_, request);
  std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.get ("x-attempt-id")
                     + "\r\nX-Response-Signature: " + id_ + "." + request.get ("x-attempt-id")
                     + "\r\n";
  std::lock_guard<std::mutex> lock (mutex_);

  for (const auto &header : headers_)
    text += header.first + ": " + header.second + "\r\n";
  if (with_length)
    text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  return text + "\r\n" + body;
}

void
Instance::serve (Stream &stream, int connection)
{
  Message request;
  int number = 0;

  while (stream.read (request, false, 10000) == Read::complete)
    {
      std::string attempt = request.get ("x-attempt-id");
      std::string expected = request.get ("x-expected-instance");
      std::string reject;
      bool keep;

      number++;
      {
        std::lock_guard<std::mutex> lock (mutex_);

        if (attempt.empty ())
          reject = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\n";
        else if (!expected.empty () && expected != id_)
          reject = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: "
                   + id_ + "\r\nX-Attempt-Id: " + attempt + "\r\n";
        else if (in_use_ >= slots_)
          reject = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
                   + attempt + "\r\n";
        else
          in_use_++;
        arrivals_.push_back (
            { now_ms (), attempt, request.method (), request.path (), reject.empty () });
      }
      record ("%s: %s %s %s from connection %d, deadline %s", id_.c_str (),
              reject.empty () ? "runs" : "rejects", attempt.c_str (), request.path ().c_str (),
              connection, request.get ("x-deadline-ms").c_str ());
      if (!reject.empty ())
        {
          if (!stream.send_all (reject + "Content-Length: 0\r\n\r\n"))
            return;
          continue;
        }
      sleep_ms (service_ms_);
      {
        std::lock_guard<std::mutex> lock (mutex_);
        in_use_--;
      }
      std::string whole = format_answer (request, true);
      keep = answer_ ? answer_ (stream, request, connection, number, whole)
                     : stream.send_all (whole);
      if (!keep)
        return;
    }
}

Node::Node (int host, std::string zone, std::string service)
    : host_ (host), zone_ (std::move (zone)), service_ (std::move (service)),
      folder_ (temporary_folder + "/node-" + std::to_string (host))
{
  std::string ip = host_address (host);
  std::string path = folder_ + ".yaml";
  FILE *file = fopen (path.c_str (), "w");

  if (!file)
    cannot_run ("the settings of a node cannot be written");
  fprintf (
      file,
      "NodeName: \"node-%d\"\nRole: \"node\"\nMachineClass: \"sidecar\"\nServes:\n"
      "  - \"sidecar\"\nIp: \"%s\"\nZone: \"%s\"\nRegion: \"region\"\nZones:\n"
      "  zone-a: \"region\"\n  zone-b: \"region\"\nListenAddrs:\n  Inbound: \"%s:%d\"\n"
      "  Outbound: \"%s:%d\"\n  Readiness: \"%s:%d\"\nInternalPorts:\n  - 7380\n  - 7395\n"
      "SeedNodes: []\nBootstrap: true\nLimits:\n  CpuQuota: 0.5\n  CpuCores: 1\n"
      "  MemoryMb: 512\n  MaxFds: 8192\n  BandwidthMbps: 140.0\n  DiskMb: 0\nDataDir: null\n"
      "Discovery: \"platform\"\nEntryType: \"static\"\nHeartbeatMs: 1500\nBounds:\n"
      "  SeedLagS: 3\n  ReuseAfterS: 2\n  StabilityMs: 3000\n  AckMs: 5000\n  CatchUpS: 6\n"
      "  DrainMs: 2500\n  GraceS: 6\n  SlackMs: 200\n  ConfigApplyMs: 2500\n"
      "  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n  RetryBudgetRatio: 0.2\n"
      "  RetryWindowS: 10\n  BudgetSlack: 206\n  RecoveryS: 15\nAppAddr: \"%s:%d\"\n"
      "Service: \"%s\"\nPlatform:\n  Address: \"%s:%d\"\n  form: \"read\"\n"
      "  WritesPerS: 400\n  ReadsPerS: 2000\n  HistoryS: 20\n  MaxValueBytes: 1048576\n"
      "  MinTtlMs: 1000\n",
      host, ip.c_str (), zone_.c_str (), ip.c_str (), kInboundPort, ip.c_str (), kOutboundPort,
      ip.c_str (), kReadyPort, ip.c_str (), kInstancePort, service_.c_str (),
      host_address (kStoreHost).c_str (), kStorePort);
  fclose (file);
  nodes.push_back (this);
}

Node::~Node ()
{
  if (pid_ > 0)
    {
      kill (pid_, SIGCONT);
      kill (pid_, SIGKILL);
      wait_end ();
    }
}

void
Node::start ()
{
  const char *program = getenv ("NODE_PROGRAM");
  std::string setting = "FOXTAILRUN_BOOT=" + folder_ + ".yaml";
  std::string log = log_path ();
  std::string path = std::string ("PATH=") + getenv ("PATH");
  std::string home = "HOME=" + temporary_folder;
  const char *environment[]
      = { setting.c_str (), path.c_str (), home.c_str (), "LANG=C.UTF-8", nullptr };
  const char *arguments[]
      = { program ? program : "target/packages/foxtailrund/foxtailrund", nullptr };

  if (access (arguments[0], X_OK) != 0)
    cannot_run ("the program of the deploy file is not built");
  pid_ = fork ();
  if (pid_ == 0)
    {
      int output = open (log.c_str (), O_CREAT | O_WRONLY | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (output, 1);
      dup2 (output, 2);
      execve (arguments[0], (char **)arguments, (char **)environment);
      _exit (127);
    }
  record ("node %d: started as process %d", host_, (int)pid_);
}

void
Node::signal (int number)
{
  record ("node %d: signal %d", host_, number);
  if (pid_ > 0)
    kill (pid_, number);
}

void
Node::wait_end ()
{
  int status = 0;

  if (pid_ <= 0)
    return;
  waitpid (pid_, &status, 0);
  record ("node %d: ended, %s %d", host_, WIFEXITED (status) ? "exit" : "signal",
          WIFEXITED (status) ? WEXITSTATUS (status) : WTERMSIG (status));
  pid_ = -1;
}

bool
Node::is_running ()
{
  int status = 0;

  if (pid_ > 0 && waitpid (pid_, &status, WNOHANG) == pid_)
    {
      record ("node %d: ended by itself, %s %d", host_, WIFEXITED (status) ? "exit" : "signal",
              WIFEXITED (status) ? WEXITSTATUS (status) : WTERMSIG (status));
      pid_ = -1;
    }
  return pid_ > 0;
}

bool
Node::is_ready ()
{
  int fd = connect_to (host_address (host_), kReadyPort, 500);
  Message answer;

  if (fd < 0)
    return false;
  Stream stream (fd);
  stream.send_all ("GET /foxtailrun/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  return stream.read (answer, true, 500) == Read::complete && answer.status () == 200;
}

bool
Node::wait_ready (double timeout_ms)
{
  double deadline = now_ms () + timeout_ms;

  while (now_ms () < deadline)
    {
      if (is_ready ())
        {
          record ("node %d: ready", host_);
          return true;
        }
      sleep_ms (50);
    }
  return false;
}

Result
call (Stream &stream, const std::string &method, const std::string &host,
      const std::string &path, const std::string &body, int deadline_ms)
{
  Result result;
  std::string text;

  result.attempt = new_attempt_id ();
  text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: "
         + result.attempt + "\r\nX-Deadline-Ms: " + std::to_string (deadline_ms) + "\r\n";
  if (!body.empty ())
    text += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  result.sent_at = now_ms ();
  if (!stream.send_all (text + "\r\n" + body))
    result.read = Read::reset;
  else
    result.read = stream.read (result.answer, true, deadline_ms + 1000);
  result.ended_at = now_ms ();
  result.status = result.read == Read::complete ? result.answer.status () : 0;
  return result;
}

Result
call_node (int number, const std::string &method, const std::string &host,
           const std::string &path, const std::string &body, int deadline_ms)
{
  int fd = connect_to (host_address (number), kOutboundPort, 1000);

  if (fd < 0)
    return Result ();
  Stream stream (fd);
  return call (stream, method, host, path, body, deadline_ms);
}

std::string
make_config (int version, const std::vector<Route> &routes,
             const std::vector<std::string> &services)
{
  std::string text = "{\"Version\":\"r" + std::to_string (version) + "\",\"Routes\":{";

  for (size_t i = 0; i < routes.size (); i++)
    {
      const Route &route = routes[i];

      text += (i ? "," : "") + ("\"" + route.name) + "\":{\"Host\":\"" + kHostName
              + "\",\"PathPrefix\":\"" + route.prefix + "\",\"RouteType\":\""
              + (route.idempotent ? "idempotent" : "non_idempotent")
              + "\",\"TimeoutMs\":" + std::to_string (route.timeout_ms)
              + ",\"TargetLatencyMs\":" + std::to_string (route.target_ms) + ",\"Priority\":"
              + std::to_string (route.priority) + ",\"Service\":\"" + route.service
              + "\",\"MaxAttempts\":" + std::to_string (route.max_attempts) + "}";
    }
  text += "},\"Services\":{";
  for (size_t i = 0; i < services.size (); i++)
    text += (i ? "," : "") + ("\"" + services[i])
            + "\":{\"HealthPath\":\"/healthz\",\"MaxConnections\":560,\"Protocol\":\"h1\","
              "\"Tls\":false}";
  return text
         + "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
           "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

static bool
is_network_free ()
{
  static const int ports[]
      = { kInboundPort, kOutboundPort, kReadyPort, kInstancePort, kStorePort, 7380, 7395 };
  static const int hosts[] = { 1, 2, 3, 4, kStoreHost };

  for (int host : hosts)
    for (int port : ports)
      {
        int fd = listen_at (host_address (host), port);

        if (fd < 0)
          return false;
        close (fd);
      }
  return true;
}

void
begin_case (int argc, char **argv)
{
  const char *base = getenv ("TMPDIR");
  std::string pattern = std::string (base ? base : "/tmp") + "/review-XXXXXX";
  std::mt19937 random{ std::random_device{}() };
  bool found = false;

  setvbuf (stdout, nullptr, _IOLBF, 0);
  ::signal (SIGPIPE, SIG_IGN);
  record_file = fopen (argc > 1 ? argv[1] : "record.txt", "w");
  if (!record_file)
    cannot_run ("record.txt cannot be written");
  setvbuf (record_file, nullptr, _IOLBF, 0);
  if (!mkdtemp (&pattern[0]))
    cannot_run ("no temporary folder");
  temporary_folder = pattern;
  for (int i = 0; i < 50 && !found; i++)
    {
      network[0] = 16 + (int)(random () % 200);
      network[1] = (int)(random () % 250);
      found = is_network_free ();
    }
  if (!found)
    cannot_run ("no loopback network with free ports");
  start_time = Clock::now ();
  record ("network 127.%d.%d.0, trouble: %s", network[0], network[1],
          has_trouble () ? "yes" : "no");
}

void
end_case (int code)
{
  static const char *const verdicts[] = { "held", "broken", "could not run" };

  for (Node *node : nodes)
    node->~Node ();
  record ("result: %s", verdicts[code]);
  printf ("%s\n", verdicts[code]);
  if (!temporary_folder.empty () && !getenv ("KEEP"))
    {
      std::string command = "rm -rf '" + temporary_folder + "'";

      if (system (command.c_str ()) != 0)
        fprintf (stderr, "%s is left\n", temporary_folder.c_str ());
    }
  fflush (nullptr);
  _exit (code);
}

void
cannot_run (const char *reason)
{
  fprintf (stderr, "cannot run: %s\n", reason);
  record ("cannot run: %s", reason);
  end_case (kCannotRun);
}

} // namespace review
