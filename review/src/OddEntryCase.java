import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Another writer puts an entry that names no server among the entries of the servers. */
final class OddEntryCase {

  private static final int REQUESTS = 20;
  private static final long DEADLINE_MS = 3_000;
  private static final long DRAIN_MS = 2_000;

  private OddEntryCase() {}

  public static void main(String[] args) {
    Rig.run(args, OddEntryCase::isBroken);
  }

  private static boolean isBroken(Rig rig) throws IOException {
    AtomicLong drainAckNanos = new AtomicLong();
    AtomicInteger lateArrivals = new AtomicInteger();
    Rig.Server first =
        rig.server(
            "i-1",
            "app",
            (self, request, socket, in, out) -> {
              Rig.skip(in, Math.max(0, request.length()));
              boolean isLeaving = drainAckNanos.get() > 0;
              long sinceAckMs = (System.nanoTime() - drainAckNanos.get()) / 1_000_000;
              if (isLeaving && sinceAckMs > DRAIN_MS) {
                lateArrivals.incrementAndGet();
                rig.note("i-1 gets and runs " + request.get("X-Attempt-Id") + " " + sinceAckMs
                    + " ms after the ack of its draining");
              }
              self.runs.incrementAndGet();
              Rig.sleep(20);
              out.write(
                  Rig.bytes(
                      Rig.okHead(
                              request,
                              (isLeaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "")
                                  + "Content-Length: 2\r\n")
                          + "ok"));
              out.flush();
              return !isLeaving;
            });
    Rig.Server second = rig.server("i-2", "app", OddEntryCase::answer);
    Rig.Server third = rig.server("i-3", "app", OddEntryCase::answer);
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("receipts", "/receipts/", "unsafe", "app", DEADLINE_MS, false), Rig.service("app")));
    put(rig, first, "ready", 1);
    put(rig, second, "ready", 1);
    Rig.Gateway gateway = rig.gateway("front-1");
    gateway.start(List.of());
    gateway.awaitReady();
    Rig.sleep(4_000);
    send(rig, gateway, "before", REQUESTS);
    rig.note("so far i-1 has run " + first.runs + " requests, i-2 " + second.runs);
    if (first.runs.get() == 0 || second.runs.get() == 0) {
      throw new IOException("a server got no requests");
    }
    if (rig.isTroubled) {
      // A number of 4,096 bits, as keys and signatures have, has 1,234 digits.
      String number = java.math.BigInteger.TWO.pow(4_096).subtract(java.math.BigInteger.ONE).toString();
      rig.store.put("servers", "odd", "{\"service\":\"app\",\"slots\":" + number + "}");
      rig.note("another writer puts the entry 'odd', with a number of " + number.length() + " digits for slots");
    }
    Rig.sleep(5_000);
    put(rig, third, "ready", 1);
    put(rig, first, "draining", 2);
    drainAckNanos.set(System.nanoTime());
    rig.note("i-3 is ready; i-1 is draining, with the store's ack");
    Rig.sleep(2_500);
    send(rig, gateway, "draining", REQUESTS);
    Rig.sleep(1_000);
    rig.store.remove("servers", "i-1");
    first.close();
    put(rig, second, "draining", 2);
    Rig.sleep(2_500);
    rig.store.remove("servers", "i-2");
    second.close();
    rig.note("i-1 and i-2 have left; i-3 has been ready for 6 s");
    Rig.sleep(1_000);
    int served = send(rig, gateway, "after", REQUESTS);
    rig.note(served + " of " + REQUESTS + " requests after the release are served; i-3 has run " + third.runs);
    rig.note(lateArrivals + " requests reached i-1 later than " + DRAIN_MS + " ms after the ack of its draining");
    return lateArrivals.get() > 0;
  }

  private static boolean answer(
      Rig.Server self, Rig.Head request, java.net.Socket socket, java.io.InputStream in, java.io.OutputStream out)
      throws IOException {
    Rig.skip(in, Math.max(0, request.length()));
    self.runs.incrementAndGet();
    Rig.sleep(20);
    out.write(Rig.bytes(Rig.okHead(request, "Content-Length: 2\r\n") + "ok"));
    out.flush();
    return true;
  }

  private static void put(Rig rig, Rig.Server server, String state, int sequence) {
    rig.store.put(
        "servers",
        server.id,
        "{\"service\":\"app\",\"address\":\"" + server.address()
            + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
            + "\",\"cold_left_ms\":0,\"seq\":" + sequence + "}");
  }

  /** Sends requests from several clients and returns how many are answered with 200. */
  private static int send(Rig rig, Rig.Gateway gateway, String name, int count) throws IOException {
    int served = 0;
    for (int i = 1; i <= count; i++) {
      try (Rig.Client client = new Rig.Client(gateway.port)) {
        client.send(
            Rig.Client.head("POST", "/receipts/1", name + "-" + i, DEADLINE_MS, "Content-Length: 0\r\n"));
        Rig.Head head = Rig.readHead(client.in);
        boolean isServed = head != null && head.first.contains(" 200 ");
        served += isServed ? 1 : 0;
        if (!isServed) {
          rig.note(name + "-" + i + " gets " + (head == null ? "a closed channel" : head.first));
        }
      }
    }
    return served;
  }
}
