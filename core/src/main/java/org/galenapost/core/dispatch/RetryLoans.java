package org.galenapost.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.galenapost.core.peer.PeerBus;
import org.galenapost.core.peer.PeerCalls;
import org.galenapost.core.time.RandomSource;
import org.galenapost.core.time.Scheduler;

/**
 * Borrows retries from the shares of other daemons. In a large fleet each daemon has few calls and
 * so a share of a few retries; the loss of a data centre takes several streams of one daemon at
 * once and none of the next. A loan moves one retry of the lender's share to the borrower, so the
 * fleet stays within its limit. A loan whose reply is lost is used by nobody. Not safe for use by
 * several threads.
 */
public final class RetryLoans {

  /** Asking more daemons finds a retry when most shares are spent, but delays the refusal. */
  private static final int MAX_LENDERS_ASKED = 4;

  /** Several round trips; a daemon that needs longer is as good as lost to a waiting reader. */
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(40);

  private final SendBudget budget;
  private final PeerBus bus;
  private final PeerCalls<RetryLoanMessage.Reply> calls;
  private final RandomSource random;

  /**
   * Creates loans and registers the handlers of their messages.
   *
   * @param budget this daemon's share
   * @param bus sends messages to the daemons that may lend
   * @param scheduler runs the timeouts
   * @param random chooses the lenders
   */
  public RetryLoans(SendBudget budget, PeerBus bus, Scheduler scheduler, RandomSource random) {
    this.budget = budget;
    this.bus = bus;
    this.calls = new PeerCalls<>(bus, scheduler, RetryLoanMessage.Reply.class, REPLY_TIMEOUT);
    this.random = random;
    bus.onMessage(RetryLoanMessage.Request.class, this::onRequest);
  }

  private void onRequest(String sender, RetryLoanMessage.Request request) {
    boolean isGranted = budget.tryRetry(request.service());
    bus.send(sender, new RetryLoanMessage.Reply(request.requestId(), isGranted));
  }

  /**
   * Asks other daemons for one retry, one after the other.
   *
   * @param service the service to which a call is to be sent again
   * @param onResult receives whether a retry was granted, at the latest after 160 ms
   */
  public void borrow(String service, Consumer<Boolean> onResult) {
    List<String> peers = new ArrayList<>(bus.livePeerIds());
    Deque<String> lenders = new ArrayDeque<>();
    while (!peers.isEmpty() && lenders.size() < MAX_LENDERS_ASKED) {
      lenders.add(peers.remove(random.nextIndex(peers.size())));
    }
    askNext(service, lenders, onResult);
  }

  private void askNext(String service, Deque<String> lenders, Consumer<Boolean> onResult) {
    if (lenders.isEmpty()) {
      onResult.accept(false);
      return;
    }
    calls
        .call(lenders.poll(), id -> new RetryLoanMessage.Request(id, service))
        .thenAccept(
            reply -> {
              if (reply.filter(RetryLoanMessage.Reply::isGranted).isPresent()) {
                onResult.accept(true);
              } else {
                askNext(service, lenders, onResult);
              }
            });
  }
}
