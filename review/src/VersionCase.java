import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * While a release replaces the server of one software version by one of another, all gateways are
 * killed and start again. Clients take their streams up again.
 */
final class VersionCase {

  private static final int STREAMS = 6;
  private static final int EVENTS = 60;
  private static final int EVENT_MS = 150;
  private static final long DEADLINE_MS = 25_000;

  private VersionCase() {}

  public static void main(String[] args) {
    Rig.run(args, VersionCase::isBroken);
  }

  private static boolean isBroken(Rig rig) throws IOException {
    Rig.Server old = rig.server("i-old", "pool", VersionCase::serveStream);
    Rig.Server young = rig.server("i-new", "pool", VersionCase::serveStream);
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("digests", "/digests/", "stream", "pool", DEADLINE_MS, true), Rig.service("pool")));
    put(rig, old, "v1", "ready", 1);
    List<Rig.Gateway> gateways = List.of(rig.gateway("front-1"), rig.gateway("front-2"));
    for (Rig.Gateway gateway : gateways) {
      gateway.start(gateways);
    }
    for (Rig.Gateway gateway : gateways) {
      gateway.awaitReady();
    }
    Rig.sleep(3_000);

    Map<String, Set<String>> versionsOf = new ConcurrentHashMap<>();
    AtomicBoolean mayReturn = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= STREAMS; i++) {
      String name = "stream-" + i;
      versionsOf.put(name, ConcurrentHashMap.newKeySet());
      int first = gateways.get(i % 2).port;
      int second = gateways.get((i + 1) % 2).port;
      clients.add(Rig.start(name, () -> follow(rig, name, first, second, versionsOf.get(name), mayReturn)));
    }
    Rig.sleep(1_000);
    rig.note("release: i-new (v2) starts, i-old (v1) drains");
    put(rig, young, "v2", "ready", 1);
    put(rig, old, "v1", "draining", 2);
    Rig.sleep(1_200);
    if (rig.isTroubled) {
      rig.note("all gateways are killed");
      for (Rig.Gateway gateway : gateways) {
        gateway.signal("KILL");
      }
    }
    Rig.sleep(1_300);
    rig.note("i-old (v1) leaves, 2.5 s after the store has accepted its report");
    rig.store.remove("servers", "i-old");
    old.close();
    Rig.sleep(600);
    if (rig.isTroubled) {
      for (Rig.Gateway gateway : gateways) {
        gateway.start(gateways);
      }
      for (Rig.Gateway gateway : gateways) {
        gateway.awaitReady();
      }
    }
    mayReturn.set(true);
    for (Thread client : clients) {
      try {
        client.join(30_000);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    int mixed = 0;
    int begun = 0;
    for (Map.Entry<String, Set<String>> entry : versionsOf.entrySet()) {
      rig.note(entry.getKey() + " holds events of " + new LinkedHashSet<>(entry.getValue()));
      mixed += entry.getValue().size() > 1 ? 1 : 0;
      begun += entry.getValue().contains("i-old") ? 1 : 0;
    }
    rig.note(mixed + " streams hold events of two versions; " + begun + " began at i-old (v1)");
    if (begun < STREAMS) {
      throw new IOException("not all streams began at i-old");
    }
    return mixed > 2;
  }

  private static void put(Rig rig, Rig.Server server, String version, String state, int sequence) {
    rig.store.put(
        "servers",
        server.id,
        "{\"service\":\"pool\",\"address\":\"" + server.address() + "\",\"zone\":\"zone-a\",\"version\":\""
            + version + "\",\"slots\":64,\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seq\":" + sequence
            + "}");
  }

  private static boolean serveStream(
      Rig.Server self, Rig.Head request, java.net.Socket socket, java.io.InputStream in, java.io.OutputStream out)
      throws IOException {
    Rig.skip(in, Math.max(0, request.length()));
    String after = request.get("Last-Event-Id");
    int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    self.rig.note(self.id + " runs " + request.get("X-Attempt-Id") + " from event " + next);
    out.write(Rig.bytes(Rig.okHead(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
    for (int event = next; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: written by " + self.id + "\n\n";
      out.write(Rig.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      out.flush();
      Rig.sleep(EVENT_MS);
    }
    out.write(Rig.bytes("0\r\n\r\n"));
    out.flush();
    return true;
  }

  /** Reads a stream; after a broken channel, takes it up again at the other gateway. */
  private static void follow(
      Rig rig, String name, int first, int second, Set<String> servers, AtomicBoolean mayReturn) {
    int last = 0;
    for (int attempt = 1; attempt <= 2 && last < EVENTS; attempt++) {
      String id = name + "-attempt-" + attempt;
      while (attempt > 1 && !mayReturn.get()) {
        Rig.sleep(20);
      }
      String more = "Content-Length: 0\r\n";
      if (last > 0) {
        more += "Last-Event-Id: " + last + "\r\nResumes: " + name + "-attempt-1\r\n";
      }
      try (Rig.Client client = new Rig.Client(attempt % 2 == 1 ? first : second)) {
        client.send(Rig.Client.head("POST", "/digests/1", id, DEADLINE_MS, more));
        Rig.Head head = Rig.readHead(client.in);
        rig.note(id + " gets " + (head == null ? "a closed channel" : head.first));
        if (head == null || !head.first.contains(" 200 ")) {
          Rig.sleep(1_000);
          continue;
        }
        for (String line = Rig.readLine(client.in); line != null; line = Rig.readLine(client.in)) {
          if (line.startsWith("id: ")) {
            last = Integer.parseInt(line.substring(4));
          } else if (line.startsWith("data: written by ")) {
            servers.add(line.substring("data: written by ".length()));
          } else if (line.equals("0")) {
            rig.note(id + " has the whole stream");
            return;
          }
        }
        rig.note(id + " is broken off after event " + last);
      } catch (IOException e) {
        rig.note(id + " is broken off after event " + last + ": " + e.getMessage());
      }
    }
  }
}
