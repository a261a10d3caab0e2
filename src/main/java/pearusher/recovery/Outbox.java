package pearusher.recovery;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps orders back until they are durable, and lets them go in the order in which they were given.
 * Once it is given up, since the disk failed or takes too long, all goes at once and nothing is
 * kept any more: a drain that waits for a disk would break its rule, a lost record only costs the
 * next start a whole table.
 *
 * @param <M> an order on its way; callers guard it by a lock of theirs
 */
public final class Outbox<M> {
  private record Held<M>(long ticket, long sinceUs, List<M> messages) {}

  private final ArrayDeque<Held<M>> held = new ArrayDeque<>();
  private final Consumer<M> out;
  private final long patienceUs;
  private long tickets;
  private boolean open;

  public Outbox(Consumer<M> out, long patienceUs) {
    this.out = out;
    this.patienceUs = patienceUs;
  }

  /**
   * Takes a turn's messages.
   *
   * @return the ticket that lets them go once it is confirmed; 0 if they went at once
   */
  public long offer(List<M> messages, long nowUs) {
    if (open) {
      messages.forEach(out);
      return 0;
    }
    held.add(new Held<>(++tickets, nowUs, List.copyOf(messages)));
    return tickets;
  }

  /** All up to this ticket is durable. */
  public void release(long ticket) {
    while (!held.isEmpty() && held.peek().ticket() <= ticket) {
      held.poll().messages().forEach(out);
    }
  }

  /** Whether something has waited for longer than it may. */
  public boolean isOverdue(long nowUs) {
    return !held.isEmpty() && nowUs - held.peek().sinceUs() > patienceUs;
  }

  public int size() {
    return held.size();
  }

  /** The store is given up for good; what waits goes now. */
  public void abandon() {
    open = true;
    release(Long.MAX_VALUE);
  }
}
