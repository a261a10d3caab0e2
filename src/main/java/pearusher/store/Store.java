package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One store: the log that is written and what recovery found. Appends and syncs come from one
 * thread; {@link #compact} may run on another, since it works on files that are written no more.
 * After the first write or sync that failed nothing is written any more: what a failed sync left is
 * not known, and a later one that succeeds says nothing about it.
 */
public final class Store implements Closeable {
  /** Left over by an unfinished compaction; also where space is kept for one. */
  private static final String RESERVE = "reserve";

  /** Says that orders went out which the store does not hold: its last state is not the last. */
  private static final String ABANDONED = "given-up";

  private static final long RESERVE_LEAST = 64 << 10;
  private static final int ENTRY_BYTES = 32 << 10;
  private static final int BLOCK = 64 << 10;

  /** Stands among the keys of a copy, so that a start can tell that later orders may be out. */
  public static final String COPIED = "!copied";

  /**
   * What a start found, for the caller and the log.
   *
   * @param state all values by key
   * @param sequence the last batch they hold
   * @param damage what was lost though confirmed, empty for nothing
   * @param cutBytes bytes dropped at the end, none of them confirmed
   * @param abandoned what used the store went on without it
   */
  public record Recovered(
      Map<String, byte[]> state,
      long sequence,
      String damage,
      long cutBytes,
      long cutFrames,
      boolean closed,
      boolean abandoned) {}

  /** Logs that are written no more: those below a serial, which end with a sequence. */
  public record Sealed(long serial, long sequence) {}

  private final Disk disk;
  private final StoreOptions options;
  private final Closeable lock;
  private final long id;
  private Disk.Out log;
  private long serial;
  private long next;
  private long confirmed;
  private ByteBuffer buffer = ByteBuffer.allocate(BLOCK);
  private volatile IOException failure;

  /** Lengths, for the choice of when to compact. */
  private volatile long logBytes;

  private volatile long checkpointBytes;
  private Recovered recovered;

  private Store(Disk disk, StoreOptions options, Closeable lock, SegmentedLog.Found found) {
    this.disk = disk;
    this.options = options;
    this.lock = lock;
    id = found.store() != 0 ? found.store() : new SecureRandom().nextLong() | 1;
  }

  /**
   * Opens what the directory holds, or begins an empty store there.
   *
   * @throws StoreException naming why not; nothing was changed then
   */
  public static Store open(Disk disk, StoreOptions options) throws IOException {
    Closeable lock;
    try {
      lock = disk.lock();
    } catch (StoreException e) {
      throw e;
    } catch (IOException e) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          "store "
              + disk.describe()
              + " can't be opened: "
              + e
              + "; make the directory, or give this user the right to write",
          e);
    }
    try {
      SegmentedLog.Found found = SegmentedLog.read(disk, Long.MAX_VALUE);
      if (!found.damage().isEmpty() && options.onDamage() == StoreOptions.Damage.REFUSE) {
        throw new StoreException(
            StoreException.Reason.DAMAGED,
            "store "
                + disk.describe()
                + " is damaged: "
                + found.damage()
                + "; restore a backup, or set 'damage stop' to go on from record "
                + found.sequence());
      }
      Store out = new Store(disk, options, lock, found);
      out.begin(found);
      return out;
    } catch (IOException | RuntimeException e) {
      lock.close();
      throw e;
    }
  }

  // Not shared yet.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  private void begin(SegmentedLog.Found found) throws IOException {
    for (String name : disk.list()) {
      if (name.endsWith(SegmentedLog.UNFINISHED)) {
        disk.delete(name);
      }
    }
    for (String name : found.bad()) {
      // Kept for who wants to look, out of the way of the next start.
      disk.rename(name, "bad-" + name);
    }
    next = found.sequence() + 1;
    confirmed = found.sequence();
    for (SegmentedLog.Part one : found.logs()) {
      serial = Math.max(serial, one.number() + 1);
      logBytes += one.bytes();
    }
    for (String name : disk.list()) {
      // A log without a preamble is not in the chain, its serial is taken all the same.
      serial = Math.max(serial, SegmentedLog.serial(name) + 1);
    }
    checkpointBytes = found.checkpoints().isEmpty() ? 0 : found.checkpoints().get(0).bytes();
    recovered =
        new Recovered(
            found.state(),
            found.sequence(),
            found.damage(),
            found.cutBytes(),
            found.cutFrames(),
            found.closed(),
            disk.list().contains(ABANDONED));
    // After a kill, what was read may stand in the page cache only. The new log states that it is
    // there,
    // so it must be: else a power cut now would look like damage to the next start.
    for (SegmentedLog.Part one : found.logs()) {
      disk.sync(one.name());
    }
    beginLog();
  }

  /** What the start found; given once, so that the memory can go. */
  public Recovered recovered() {
    Recovered out = recovered;
    recovered = null;
    return out;
  }

  /** A new log, whose name and preamble are durable before anything is written to it. */
  private void beginLog() throws IOException {
    log = disk.create(SegmentedLog.log(serial++));
    log.write(
        ByteBuffer.wrap(
            new LogRecord.Preamble(LogRecord.FORMAT, LogRecord.LOG, id, next).encode()));
    log.sync();
    disk.syncDirectory();
  }

  /** Adds a batch to the group at hand and gives its sequence; nothing is written yet. */
  public long append(WriteBatch batch) throws IOException {
    check();
    put(new LogRecord(LogRecord.BATCH, next, confirmed, batch.encode()));
    return next++;
  }

  private void put(LogRecord frame) {
    if (buffer.remaining() < frame.bytes()) {
      ByteBuffer larger =
          ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position() + frame.bytes()));
      buffer = larger.put(buffer.flip());
    }
    frame.encode(buffer);
  }

  private void check() throws IOException {
    if (failure != null) {
      throw new StoreException(
          StoreException.Reason.FAILED,
          "store " + disk.describe() + " takes no more since: " + failure.getMessage(),
          failure);
    }
  }

  /** Writes the group at hand: a killed process loses it no more, a power cut may. */
  // Only the thread that writes changes the length.
  @SuppressWarnings("NonAtomicVolatileUpdate")
  public void write() throws IOException {
    check();
    try {
      logBytes += buffer.position();
      log.write(buffer.flip());
      buffer = buffer.capacity() > 16 * BLOCK ? ByteBuffer.allocate(BLOCK) : buffer.clear();
    } catch (IOException e) {
      throw failed(e);
    }
  }

  /**
   * Writes and syncs the group at hand.
   *
   * @return the last sequence that a power cut can't take any more
   */
  public long sync() throws IOException {
    write();
    try {
      log.sync();
      confirmed = next - 1;
      if (log.size() >= options.segmentBytes()) {
        roll();
      }
    } catch (IOException e) {
      throw failed(e);
    }
    return confirmed;
  }

  private IOException failed(IOException e) {
    // A sync that failed once is final: the system may have dropped the pages and call the next one
    // good.
    failure = e;
    return new StoreException(
        StoreException.Reason.FAILED, "store " + disk.describe() + " failed: " + e.getMessage(), e);
  }

  private void roll() throws IOException {
    log.close();
    beginLog();
  }

  /** The logs have outgrown the last checkpoint. */
  public boolean needsCompaction() {
    return failure == null
        && logBytes
            >= Math.max(options.compactBytes(), (long) (options.compactTimes() * checkpointBytes));
  }

  /**
   * The first step of a compaction, on the appending thread: all that was appended is synced and a
   * new log begun. What comes before it is written no more.
   *
   * @return what {@link #compact} may read
   */
  public Sealed seal() throws IOException {
    sync();
    try {
      roll();
    } catch (IOException e) {
      throw failed(e);
    }
    logBytes = 0;
    return new Sealed(serial - 1, next - 1);
  }

  /**
   * The rest of a compaction, on any thread: folds the old checkpoint and the sealed logs into a
   * new one. Old files go only once the new one's content and name are durable. A failure here
   * leaves the store as it was and costs no append; the space kept back is given up for it first.
   */
  public void compact(Sealed sealed) throws IOException {
    SegmentedLog.Found found = SegmentedLog.read(disk, sealed.serial());
    if (!found.damage().isEmpty() || found.sequence() != sealed.sequence()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store "
              + disk.describe()
              + " can't be compacted, nothing was deleted: record "
              + found.sequence()
              + " of "
              + sealed.sequence()
              + " is the last that can be read "
              + found.damage());
    }
    String name = SegmentedLog.checkpoint(found.sequence());
    try {
      checkpointBytes = writeCheckpoint(disk, name, id, found.sequence(), found.state());
    } catch (IOException full) {
      // Disk full: the reserve is as long as a checkpoint, so the space for one is there.
      disk.delete(name + SegmentedLog.UNFINISHED);
      disk.delete(RESERVE);
      disk.syncDirectory();
      checkpointBytes = writeCheckpoint(disk, name, id, found.sequence(), found.state());
    }
    for (SegmentedLog.Part old : found.checkpoints()) {
      if (!old.name().equals(name)) {
        disk.delete(old.name());
      }
    }
    for (String old : disk.list()) {
      if (SegmentedLog.serial(old) >= 0 && SegmentedLog.serial(old) < sealed.serial()) {
        disk.delete(old);
      }
    }
    disk.syncDirectory();
    reserve();
  }

  /**
   * Content, then its sync, then the name, then the name's sync: any other order can lose both
   * states.
   */
  private static long writeCheckpoint(
      Disk disk, String name, long id, long sequence, Map<String, byte[]> state)
      throws IOException {
    long bytes;
    try (Disk.Out out = disk.create(name + SegmentedLog.UNFINISHED)) {
      out.write(
          ByteBuffer.wrap(
              new LogRecord.Preamble(LogRecord.FORMAT, LogRecord.CHECKPOINT, id, sequence)
                  .encode()));
      WriteBatch batch = new WriteBatch();
      long size = 0;
      long index = 0;
      for (Map.Entry<String, byte[]> one : state.entrySet()) {
        batch.put(one.getKey(), one.getValue());
        size += one.getKey().length() + one.getValue().length;
        if (size >= ENTRY_BYTES) {
          write(out, new LogRecord(LogRecord.ENTRY, index++, sequence, batch.encode()));
          batch = new WriteBatch();
          size = 0;
        }
      }
      write(out, new LogRecord(LogRecord.ENTRY, index++, sequence, batch.encode()));
      write(
          out,
          new LogRecord(
              LogRecord.END,
              index,
              sequence,
              ByteBuffer.allocate(8).putLong(state.size()).array()));
      out.sync();
      bytes = out.size();
    }
    disk.rename(name + SegmentedLog.UNFINISHED, name);
    disk.syncDirectory();
    return bytes;
  }

  private static void write(Disk.Out out, LogRecord frame) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(frame.bytes());
    frame.encode(bytes);
    out.write(bytes.flip());
  }

  /**
   * Keeps space for the next compaction, a quarter more than this one took; without it on a full
   * disk.
   */
  private void reserve() throws IOException {
    long want = RESERVE_LEAST + checkpointBytes + checkpointBytes / 4;
    boolean there = disk.list().contains(RESERVE);
    if (there && disk.size(RESERVE) >= want) {
      return;
    }
    try (Disk.Out out = disk.create(RESERVE + SegmentedLog.UNFINISHED)) {
      for (long left = want; left > 0; left -= BLOCK) {
        out.write(ByteBuffer.allocate(BLOCK));
      }
      out.sync();
      disk.rename(RESERVE + SegmentedLog.UNFINISHED, RESERVE);
    } catch (IOException full) {
      disk.delete(RESERVE + SegmentedLog.UNFINISHED);
    }
  }

  /**
   * The caller goes on without the store, on a disk that may be full: the next start must not take
   * the last state here for the last there was.
   */
  public void markAbandoned() throws IOException {
    disk.delete(RESERVE);
    if (!disk.list().contains(ABANDONED)) {
      disk.create(ABANDONED).close();
    }
    disk.syncDirectory();
  }

  /** All that is held was appended since the start that found the store disowned. */
  public void clearAbandoned() throws IOException {
    disk.delete(ABANDONED);
    disk.syncDirectory();
  }

  /** How many bytes of log a start would read now. */
  public long logBytes() {
    return logBytes;
  }

  /**
   * Writes a copy of what a directory holds, which may be open elsewhere: one checkpoint, marked as
   * a copy.
   *
   * @param into an empty directory
   * @return the last sequence of the copy
   */
  public static long copy(Disk from, Disk into) throws IOException {
    SegmentedLog.Found found = SegmentedLog.readWhileOpen(from);
    if (found.store() == 0) {
      throw new StoreException(StoreException.Reason.ABSENT, "no store in " + from.describe());
    }
    if (!found.damage().isEmpty()) {
      throw new StoreException(
          StoreException.Reason.DAMAGED,
          "store " + from.describe() + " is damaged: " + found.damage());
    }
    List<String> there = new ArrayList<>(into.list());
    if (!there.isEmpty()) {
      throw new StoreException(
          StoreException.Reason.ABSENT,
          into.describe() + " is not empty (" + there.get(0) + "); name an empty directory");
    }
    found.state().put(COPIED, ByteBuffer.allocate(8).putLong(found.sequence()).array());
    writeCheckpoint(
        into,
        SegmentedLog.checkpoint(found.sequence()),
        new SecureRandom().nextLong() | 1,
        found.sequence(),
        found.state());
    return found.sequence();
  }

  /** An orderly end: all that was appended is synced, and a frame says that nothing is missing. */
  @Override
  public void close() throws IOException {
    try {
      if (failure == null && log != null) {
        sync();
        put(new LogRecord(LogRecord.CLOSE, next, confirmed, new byte[0]));
        write();
        log.sync();
      }
    } finally {
      try {
        if (log != null) {
          log.close();
        }
      } finally {
        lock.close();
      }
    }
  }
}
