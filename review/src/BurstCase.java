import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A burst of requests whose bodies are a sixteenth of what the config allows. Servers work on each for
 * some seconds. After the burst, clients send short requests.
 */
final class BurstCase {

  private static final int BODY_BYTES = 250_000;
  private static final int WORK_MS = 5_000;
  private static final int PER_SECOND = 50;
  private static final double BURST_FACTOR = 2.5;
  private static final int BURST_S = 3;
  private static final int SHORT_REQUESTS = 12;
  private static final long TIMEOUT_MS = 15_000;

  private final Rig rig;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger rejected = new AtomicInteger();
  private final AtomicInteger closed = new AtomicInteger();
  private final AtomicInteger justInTime = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();

  private BurstCase(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] args) {
    Rig.run(args, rig -> new BurstCase(rig).isBroken());
  }

  private boolean isBroken() throws IOException {
    for (int i = 1; i <= 8; i++) {
      rig.server("i-" + i, "app", BurstCase::answer).register();
    }
    rig.store.put(
        "config",
        "main",
        Rig.config(
            1, Rig.route("digests", "/digests/", "unsafe", "app", TIMEOUT_MS, false), Rig.service("app")));
    Rig.Gateway gateway = rig.gateway("front-1");
    gateway.start(List.of());
    gateway.awaitReady();
    Rig.sleep(4_000);
    List<Thread> threads = new ArrayList<>();
    int number = 0;
    for (int second = 0; second < BURST_S; second++) {
      boolean isBurst = rig.isTroubled;
      int count = (int) (PER_SECOND * (isBurst ? BURST_FACTOR : 1));
      rig.note(count + " requests of " + BODY_BYTES + " bytes in this second");
      for (int i = 0; i < count; i++) {
        String id = "long-" + ++number;
        threads.add(Rig.start(id, () -> call(gateway.port, id, BODY_BYTES)));
        Rig.sleep(1_000 / count);
      }
    }
    join(threads);
    report("in the burst");
    int lateInBurst = justInTime.get();
    int unansweredInBurst = unanswered.get();
    Rig.sleep(5_000);
    threads.clear();
    for (int i = 1; i <= SHORT_REQUESTS; i++) {
      String id = "short-" + i;
      threads.add(Rig.start(id, () -> call(gateway.port, id, 100)));
    }
    join(threads);
    report("in all");
    rig.note(unanswered.get() - unansweredInBurst + " of " + SHORT_REQUESTS
        + " short requests after the burst have no answer");
    rig.note("the process of the gateway runs: " + gateway.isAlive());
    rig.note("the gateway answers GET /ready: " + answersReadiness(gateway));
    return unanswered.get() > 0 && unanswered.get() > justInTime.get()
        || unansweredInBurst > 0 && unansweredInBurst > lateInBurst;
  }

  private static boolean answersReadiness(Rig.Gateway gateway) {
    try (Rig.Client client = new Rig.Client(gateway.readyPort)) {
      client.socket.setSoTimeout(3_000);
      client.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return Rig.readHead(client.in) != null;
    } catch (IOException e) {
      return false;
    }
  }

  private static boolean answer(
      Rig.Server self, Rig.Head request, java.net.Socket socket, java.io.InputStream in, java.io.OutputStream out)
      throws IOException {
    Rig.skip(in, Math.max(0, request.length()));
    self.runs.incrementAndGet();
    if (request.length() >= BODY_BYTES) {
      Rig.sleep(WORK_MS);
    }
    out.write(Rig.bytes(Rig.okHead(request, "Content-Length: 800\r\n")));
    out.write(new byte[800]);
    out.flush();
    return true;
  }

  private void report(String when) {
    rig.note(when + ": " + answered + " answered with 200, " + rejected + " with another status, " + justInTime
        + " within 0.5 s after the timeout, " + closed + " channels closed, " + unanswered
        + " without an answer 0.5 s after the timeout");
  }

  private static void join(List<Thread> threads) {
    for (Thread thread : threads) {
      try {
        thread.join(20_000);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private void call(int port, String id, int bodyBytes) {
    long start = System.nanoTime();
    try (Rig.Client client = new Rig.Client(port)) {
      client.socket.setSoTimeout((int) TIMEOUT_MS + 500);
      client.send(
          Rig.Client.head("POST", "/digests/1", id, 60_000, "Content-Length: " + bodyBytes + "\r\n"));
      client.out.write(new byte[bodyBytes]);
      client.out.flush();
      start = System.nanoTime();
      Rig.Head head = Rig.readHead(client.in);
      long ms = (System.nanoTime() - start) / 1_000_000;
      if (head == null) {
        closed.incrementAndGet();
        rig.note(id + " gets a closed channel");
      } else if (ms > TIMEOUT_MS) {
        justInTime.incrementAndGet();
      } else if (head.first.contains(" 200 ")) {
        answered.incrementAndGet();
      } else {
        rejected.incrementAndGet();
      }
    } catch (SocketTimeoutException e) {
      unanswered.incrementAndGet();
      rig.note(id + " has no answer " + (System.nanoTime() - start) / 1_000_000 + " ms after its last byte");
    } catch (IOException e) {
      closed.incrementAndGet();
      rig.note(id + ": " + e.getMessage());
    }
  }
}
