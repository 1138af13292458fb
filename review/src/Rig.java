import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the scripts of the review share: gateways started as the deploy file says, a stand-in of the
 * platform's store, stand-ins of servers, and a plain HTTP client. All addresses are loopback.
 */
final class Rig implements Closeable {

  static final String HOST = "review.example";
  static final String KEY = "key-of-the-review";
  static final int MAX_BODY_BYTES = 4_194_304;
  private static final long MAX_RUN_MS = 115_000;

  final Path folder;
  final boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
  final Store store;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Closeable> parts = new ArrayList<>();
  private final Path temporary;

  Rig(Path folder) throws IOException {
    this.folder = folder;
    this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    this.temporary = Files.createTempDirectory("review");
    this.store = new Store(this);
    parts.add(store);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endParts));
    start("watchdog", () -> {
      sleep(MAX_RUN_MS);
      note("RESULT: could not run to its end in time");
      System.exit(2);
    });
    note("trouble=" + (isTroubled ? 1 : 0));
  }

  /** Writes a line to the record, with the milliseconds since the start. */
  void note(String line) {
    synchronized (record) {
      record.println(
          String.format(Locale.ROOT, "%6d ms  %s", (System.nanoTime() - startNanos) / 1_000_000, line));
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The connection ended; what was seen is in the record.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws IOException;
  }

  /** Returns a free port below those that outgoing connections take. */
  static int freePort() throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // Taken; tries another one.
      }
    }
    throw new IOException("no free port");
  }

  Server server(String id, String service, Behaviour behaviour) throws IOException {
    Server server = new Server(this, id, service, behaviour);
    parts.add(server);
    return server;
  }

  Gateway gateway(String node) throws IOException {
    Gateway gateway = new Gateway(this, node, temporary);
    parts.add(gateway);
    return gateway;
  }

  /** Starts the proxy of src/link.py before a gateway and returns its port. */
  int link(Gateway gateway, int bytesPerSecond) throws IOException {
    Process process =
        new ProcessBuilder(
                "python3", "review/src/link.py", Integer.toString(gateway.port), Integer.toString(bytesPerSecond))
            .redirectErrorStream(true)
            .start();
    parts.add(
        () -> {
          process.destroyForcibly();
          process.onExit().join();
        });
    return Integer.parseInt(readLine(process.getInputStream()).strip());
  }

  /** Ends all processes and sockets of the case; ending them again does nothing. */
  private void endParts() {
    for (int i = parts.size() - 1; i >= 0; i--) {
      try {
        parts.get(i).close();
      } catch (IOException e) {
        note("could not end a part: " + e.getMessage());
      }
    }
  }

  @Override
  public void close() {
    endParts();
    File[] files = temporary.toFile().listFiles();
    if (files != null) {
      for (File file : files) {
        file.delete();
      }
    }
    temporary.toFile().delete();
    record.close();
  }

  /** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it did not run. */
  static void run(String[] args, Case body) {
    int code;
    try (Rig rig = new Rig(Path.of(args[0]))) {
      try {
        boolean isBroken = body.isBroken(rig);
        rig.note(isBroken ? "RESULT: the rule is broken" : "RESULT: the rule held");
        code = isBroken ? 1 : 0;
      } catch (IOException | RuntimeException e) {
        rig.note("RESULT: could not run: " + e);
        e.printStackTrace();
        code = 2;
      }
    } catch (IOException e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }

  interface Case {
    boolean isBroken(Rig rig) throws IOException;
  }

  /** The part of a config document that differs between cases. */
  static String config(long version, String routes, String services) {
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES
        + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
  }

  static String route(String name, String prefix, String kind, String service, long timeoutMs, boolean canResume) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs
        + ",\"latency_target_ms\":4500,\"priority\":1,\"service\":\"" + service
        + "\",\"max_attempts\":5,\"allow_anon\":false,\"sticky\":false,\"can_resume\":" + canResume
        + (kind.equals("stream") ? ",\"gap_target_ms\":700" : "") + "}";
  }

  static String service(String name) {
    return "{\"name\":\"" + name
        + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}";
  }

  // ---------------------------------------------------------------- messages

  /** A request or the head of a response. */
  static final class Head {
    final String first;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    Head(String first) {
      this.first = first;
    }

    String get(String name) {
      return headers.getOrDefault(name, "");
    }

    long length() {
      String value = headers.get("Content-Length");
      return value == null ? -1 : Long.parseLong(value.strip());
    }
  }

  /** Reads a head, or returns null at the end of the stream. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Head head = new Head(first);
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      head.headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
    }
    return head;
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      if (b != '\r') {
        line.append((char) b);
      }
      b = in.read();
    }
    return line.toString();
  }

  static void skip(InputStream in, long bytes) throws IOException {
    byte[] buffer = new byte[65_536];
    long left = bytes;
    while (left > 0) {
      int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (read < 0) {
        throw new EOFException();
      }
      left -= read;
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // ---------------------------------------------------------------- servers

  /** Answers one request; the body of the request is not read yet. */
  interface Behaviour {
    /** Returns whether the connection stays open. */
    boolean answer(Server server, Head request, Socket socket, InputStream in, OutputStream out)
        throws IOException;
  }

  /** A stand-in of a server. */
  static final class Server implements Closeable {
    final Rig rig;
    final String id;
    final String service;
    final AtomicInteger runs = new AtomicInteger();
    private final ServerSocket socket;
    private final Behaviour behaviour;
    private final List<Socket> connections = new ArrayList<>();

    Server(Rig rig, String id, String service, Behaviour behaviour) throws IOException {
      this.rig = rig;
      this.id = id;
      this.service = service;
      this.behaviour = behaviour;
      this.socket = new ServerSocket();
      socket.setReceiveBufferSize(65_536);
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
      start("server-" + id, this::accept);
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Registers the server in the store, as servers do. */
    void register() {
      rig.store.put(
          "servers",
          id,
          "{\"service\":\"" + service + "\",\"address\":\"" + address()
              + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
              + "\"cold_left_ms\":0,\"born\":" + System.currentTimeMillis() + ",\"seq\":1}");
    }

    private void accept() throws IOException {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        synchronized (connections) {
          connections.add(connection);
        }
        start("connection-" + id, () -> serve(connection));
      }
    }

    private void serve(Socket connection) throws IOException {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 65_536);
        OutputStream out = connection.getOutputStream();
        boolean isOpen = true;
        while (isOpen) {
          Head request = readHead(in);
          if (request == null) {
            return;
          }
          String expected = request.get("X-Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            skip(in, Math.max(0, request.length()));
            out.write(bytes("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: "
                + id + "\r\nContent-Length: 0\r\n\r\n"));
            continue;
          }
          if (request.first.startsWith("GET /health ")) {
            out.write(bytes("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"));
            continue;
          }
          isOpen = behaviour.answer(this, request, connection, in, out);
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      synchronized (connections) {
        for (Socket connection : connections) {
          connection.close();
        }
      }
    }
  }

  /** Returns the head of a complete answer. */
  static String okHead(Head request, String headers) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.get("X-Attempt-Id")
        + "\r\nX-Response-Seal: seal-of-" + request.get("X-Attempt-Id") + "\r\n" + headers + "\r\n";
  }

  // ---------------------------------------------------------------- store

  /** A stand-in of the platform's store: objects by kind and name, with lists and watches. */
  static final class Store implements Closeable {
    private final Rig rig;
    private final ServerSocket socket;
    private final Map<String, Map<String, StoredObject>> kinds = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 1;

    private static final class StoredObject {
      final String name;
      final String spec;
      final long created;
      final long revision;

      StoredObject(String name, String spec, long created, long revision) {
        this.name = name;
        this.spec = spec;
        this.created = created;
        this.revision = revision;
      }

      String json() {
        return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
            + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
      }
    }

    private static final class Event {
      final String kind;
      final StoredObject object;
      final boolean isDeleted;
      final long revision;

      Event(String kind, StoredObject object, boolean isDeleted, long revision) {
        this.kind = kind;
        this.object = object;
        this.isDeleted = isDeleted;
        this.revision = revision;
      }
    }

    Store(Rig rig) throws IOException {
      this.rig = rig;
      this.socket = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
      start("store", this::accept);
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    synchronized long put(String kind, String name, String spec) {
      Map<String, StoredObject> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
      StoredObject old = objects.get(name);
      revision++;
      StoredObject object =
          new StoredObject(name, spec, old == null ? revision : old.created, revision);
      objects.put(name, object);
      events.add(new Event(kind, object, false, revision));
      notifyAll();
      return revision;
    }

    synchronized void remove(String kind, String name) {
      StoredObject old = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
      if (old != null) {
        revision++;
        events.add(new Event(kind, old, true, revision));
        notifyAll();
      }
    }

    private void accept() throws IOException {
      while (true) {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        start("store-connection", () -> serve(connection));
      }
    }

    private void serve(Socket connection) throws IOException {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        for (Head request = readHead(in); request != null; request = readHead(in)) {
          byte[] body = in.readNBytes((int) Math.max(0, request.length()));
          String[] words = request.first.split(" ");
          String[] answer = answer(words[0], words[1], new String(body, StandardCharsets.UTF_8));
          byte[] content = answer[1].getBytes(StandardCharsets.UTF_8);
          out.write(bytes("HTTP/1.1 " + answer[0] + "\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
              + content.length + "\r\n\r\n"));
          out.write(content);
          out.flush();
        }
      }
    }

    private synchronized String[] answer(String method, String target, String body) {
      int mark = target.indexOf('?');
      String path = mark < 0 ? target : target.substring(0, mark);
      String query = mark < 0 ? "" : target.substring(mark + 1);
      String[] parts = path.split("/");
      String kind = parts.length > 2 ? parts[2] : "";
      String name = parts.length > 3 ? parts[3] : "";
      Map<String, StoredObject> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
      if (method.equals("GET") && name.isEmpty() && query.contains("watch=")) {
        return watch(kind, number(query, "watch="), number(query, "wait_ms="));
      }
      if (method.equals("GET") && name.isEmpty()) {
        StringBuilder entries = new StringBuilder();
        objects.values().forEach(o -> entries.append(entries.length() == 0 ? "" : ",").append(o.json()));
        return new String[] {"200 OK", "{\"entries\":[" + entries + "],\"more\":false,\"as_of\":" + revision + "}"};
      }
      if (method.equals("POST")) {
        String newName = text(body, "\"name\":\"");
        if (objects.containsKey(newName)) {
          return new String[] {"409 Conflict", objects.get(newName).json()};
        }
        put(kind, newName, spec(body));
        return new String[] {"200 OK", objects.get(newName).json()};
      }
      StoredObject old = objects.get(name);
      if (old == null) {
        return new String[] {"404 Not Found", "{}"};
      }
      if (method.equals("PUT")) {
        long condition = number(body, "\"revision\":");
        if (condition > 0 && condition != old.revision) {
          return new String[] {"409 Conflict", old.json()};
        }
        put(kind, name, spec(body));
        return new String[] {"200 OK", objects.get(name).json()};
      }
      if (method.equals("DELETE")) {
        long condition = number(query, "revision=");
        if (condition > 0 && condition != old.revision) {
          return new String[] {"409 Conflict", old.json()};
        }
        remove(kind, name);
      }
      return new String[] {"200 OK", old.json()};
    }

    private String[] watch(String kind, long since, long waitMs) {
      long end = System.nanoTime() + waitMs * 1_000_000;
      while (true) {
        StringBuilder found = new StringBuilder();
        for (Event event : events) {
          if (event.kind.equals(kind) && event.revision > since) {
            found.append(found.length() == 0 ? "" : ",").append("{\"deleted\":").append(event.isDeleted)
                .append(",\"object\":").append(event.object.json()).append("}");
          }
        }
        long leftMs = (end - System.nanoTime()) / 1_000_000;
        if (found.length() > 0 || leftMs <= 0) {
          return new String[] {"200 OK", "{\"events\":[" + found + "],\"as_of\":" + revision + "}"};
        }
        try {
          wait(leftMs);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private static long number(String text, String after) {
      int at = text.indexOf(after);
      if (at < 0) {
        return 0;
      }
      int start = at + after.length();
      int end = start;
      while (end < text.length() && Character.isDigit(text.charAt(end))) {
        end++;
      }
      return end == start ? 0 : Long.parseLong(text.substring(start, end));
    }

    private static String text(String body, String after) {
      int meta = body.indexOf("\"meta\"");
      int start = body.indexOf(after, meta) + after.length();
      return body.substring(start, body.indexOf('"', start));
    }

    /** Returns the value of "spec", an object. */
    private static String spec(String body) {
      int start = body.indexOf('{', body.indexOf("\"spec\""));
      int depth = 0;
      boolean isText = false;
      for (int i = start; i < body.length(); i++) {
        char c = body.charAt(i);
        if (isText) {
          if (c == '\\') {
            i++;
          } else if (c == '"') {
            isText = false;
          }
        } else if (c == '"') {
          isText = true;
        } else if (c == '{') {
          depth++;
        } else if (c == '}' && --depth == 0) {
          return body.substring(start, i + 1);
        }
      }
      throw new IllegalArgumentException("no spec in " + body);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  // ---------------------------------------------------------------- gateways

  /** A gateway as a process of its own, with the command and the template of the deploy file. */
  static final class Gateway implements Closeable {
    final int port = freePort();
    final int readyPort = freePort();
    final int operatorPort = freePort();
    final int peerPort = freePort();
    private final Rig rig;
    private final String node;
    private final Path settings;
    private Process process;

    Gateway(Rig rig, String node, Path temporary) throws IOException {
      this.rig = rig;
      this.node = node;
      this.settings = temporary.resolve(node + ".yaml");
    }

    /** Starts the process; seeds are the peer addresses of other gateways. */
    void start(List<Gateway> seeds) throws IOException {
      Path root = Path.of("").toAbsolutePath();
      StringBuilder seedList = new StringBuilder("[");
      for (Gateway seed : seeds) {
        seedList.append(seedList.length() == 1 ? "" : ",").append("\"127.0.0.1:").append(seed.peerPort).append('"');
      }
      seedList.append(']');
      String text = Files.readString(root.resolve("deploy/gateway.yaml.template"));
      Map<String, String> values = new LinkedHashMap<>();
      values.put("{{node|json}}", "\"" + node + "\"");
      values.put("{{zone|json}}", "\"zone-a\"");
      values.put("{{listen.front|json}}", "\"127.0.0.1:" + port + "\"");
      values.put("{{listen.ready|json}}", "\"127.0.0.1:" + readyPort + "\"");
      values.put("{{listen.control|json}}", "\"127.0.0.1:" + peerPort + "\"");
      values.put("{{ip|json}}", "\"127.0.0.1\"");
      values.put("{{port_range.0}}", Integer.toString(operatorPort));
      values.put("{{seeds|json}}", seedList.toString());
      values.put("{{provider.address|json}}", "\"" + rig.store.address() + "\"");
      values.put("{{bounds.config_ms}}", "2000");
      values.put("{{bounds.budget_ratio}}", "0.8");
      values.put("{{bounds.budget_window_s}}", "10");
      values.put("{{bounds.budget_extra}}", "150");
      // Absent where the deployment has no roll-outs; the platform then fills in nothing.
      values.put("{{bounds.exposure_share}}", "");
      values.put("{{bounds.exposure_slack}}", "");
      values.put("{{bounds.rollback_ms}}", "");
      for (Map.Entry<String, String> value : values.entrySet()) {
        text = text.replace(value.getKey(), value.getValue());
      }
      Files.writeString(settings, text);
      String run = "";
      for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
        if (line.startsWith("run = \"")) {
          run = line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder(run.split(" "));
      builder.environment().keySet().removeIf(
          name -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(name));
      builder.environment().put("GALENAPOST_NODE_FILE", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(rig.folder.resolve(node + ".log").toFile());
      process = builder.start();
      rig.note("started gateway " + node + ", process " + process.pid());
    }

    void awaitReady() throws IOException {
      for (int i = 0; i < 300; i++) {
        try (Client client = new Client(readyPort)) {
          client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
          Head head = readHead(client.in);
          if (head != null && head.first.contains(" 200")) {
            rig.note("gateway " + node + " is ready");
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(100);
      }
      throw new IOException("gateway " + node + " did not become ready");
    }

    boolean isAlive() {
      return process.isAlive();
    }

    /** Sends a signal by the number of the process. */
    void signal(String name) throws IOException {
      rig.note("SIG" + name + " to gateway " + node);
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    boolean waitForEnd(long ms) {
      try {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public void close() {
      if (process != null) {
        process.destroyForcibly();
        waitForEnd(5_000);
      }
    }
  }

  // ---------------------------------------------------------------- clients

  /** A connection of a client. */
  static final class Client implements Closeable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      this(port, 0);
    }

    Client(int port, int receiveBufferBytes) throws IOException {
      socket = new Socket();
      if (receiveBufferBytes > 0) {
        socket.setReceiveBufferSize(receiveBufferBytes);
      }
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(60_000);
      socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
      in = new BufferedInputStream(socket.getInputStream(), 16_384);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(bytes(text));
      out.flush();
    }

    static String head(String method, String path, String id, long deadlineMs, String more) {
      return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Attempt-Id: " + id
          + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nX-Credential: " + KEY + "\r\n" + more + "\r\n";
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
