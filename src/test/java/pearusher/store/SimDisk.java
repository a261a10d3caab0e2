package pearusher.store;

import java.io.ByteArrayInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/**
 * A directory in memory that forgets what was not synced. Names and contents are durable apart from
 * each other; at a power cut any subset of the sectors and names not synced survives, drawn from a
 * seed.
 */
public final class SimDisk implements Disk {
  private static final int SECTOR = 16;

  /** The power went: no code may catch this as an error of the disk. */
  public static final class PowerCut extends Error {
    private static final long serialVersionUID = 1L;

    PowerCut() {
      super("the power went", null, false, false);
    }
  }

  /** Defences that a test takes out: the call returns and does nothing. */
  public enum Lie {
    SYNC,
    SYNC_DIRECTORY,
    SYNC_UNFINISHED,
    SYNC_LEFT
  }

  private record Piece(int at, byte[] bytes) {}

  private static final class Node {
    byte[] durable = new byte[0];
    byte[] seen = new byte[0];
    final List<Piece> pending = new ArrayList<>();
  }

  private final Map<String, Node> names;
  private final Map<String, Node> durableNames;
  private final List<Runnable> pendingNames = new ArrayList<>();
  private final Set<Lie> lies = EnumSet.noneOf(Lie.class);
  private boolean held;
  public volatile int calls;

  /** The power went. */
  public volatile boolean gone;

  /** The call at which the power goes, or at which the disk fails once; -1: never. */
  public volatile int cutAt = -1;

  public volatile int failAt = -1;

  /** What failed calls name; and the bytes left on a disk that can be full. */
  long room = Long.MAX_VALUE;

  /** Seen before each call that changes anything. */
  public volatile BiConsumer<String, String> watch = (what, name) -> {};

  public SimDisk(Lie... lies) {
    this(new TreeMap<>(), lies);
  }

  private SimDisk(Map<String, Node> names, Lie... lies) {
    this.names = names;
    durableNames = new TreeMap<>(names);
    this.lies.addAll(List.of(lies));
  }

  private synchronized void call(String what, String name) throws IOException {
    watch.accept(what, name);
    if (calls == cutAt) {
      gone = true;
      throw new PowerCut();
    }
    if (calls++ == failAt) {
      throw new IOException("input/output error in " + what + " of " + name);
    }
  }

  /** What a start after a power cut finds. */
  public synchronized SimDisk afterPowerCut(Random random) {
    for (Runnable one : pendingNames) {
      if (random.nextBoolean()) {
        one.run();
      }
    }
    Map<String, Node> left = new TreeMap<>();
    durableNames.forEach(
        (name, node) -> {
          Node now = new Node();
          now.durable = node.durable;
          for (Piece piece : node.pending) {
            for (int from = 0; from < piece.bytes().length; from += SECTOR) {
              if (random.nextBoolean()) {
                int to = Math.min(piece.bytes().length, from + SECTOR);
                now.durable =
                    lay(
                        now.durable,
                        piece.at() + from,
                        Arrays.copyOfRange(piece.bytes(), from, to));
              }
            }
          }
          now.seen = now.durable;
          left.put(name, now);
        });
    return new SimDisk(left, lies.toArray(Lie[]::new));
  }

  /** The process was killed; the machine, and with it the page cache, goes on. */
  public void kill() {
    held = false;
    cutAt = -1;
  }

  private static byte[] lay(byte[] on, int at, byte[] bytes) {
    byte[] out = Arrays.copyOf(on, Math.max(on.length, at + bytes.length));
    System.arraycopy(bytes, 0, out, at, bytes.length);
    return out;
  }

  byte[] bytes(String name) {
    return names.get(name).seen.clone();
  }

  /** The same files with one replaced, all durable. */
  SimDisk with(String name, byte[] bytes) {
    Map<String, Node> copy = new TreeMap<>();
    names.forEach(
        (n, node) -> {
          Node now = new Node();
          now.seen = n.equals(name) ? bytes : node.seen;
          now.durable = now.seen;
          copy.put(n, now);
        });
    return new SimDisk(copy);
  }

  @Override
  public synchronized List<String> list() {
    return List.copyOf(names.keySet());
  }

  synchronized long size() {
    return names.values().stream().mapToLong(n -> n.seen.length).sum();
  }

  @Override
  public synchronized Out create(String name) throws IOException {
    call("create", name);
    if (names.containsKey(name)) {
      throw new IOException(name + " is there already");
    }
    Node node = new Node();
    names.put(name, node);
    pendingNames.add(() -> durableNames.put(name, node));
    return new Out() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        SimDisk.this.write(name, node, bytes);
      }

      @Override
      public void sync() throws IOException {
        SimDisk.this.sync(name, node);
      }

      @Override
      public long size() {
        return node.seen.length;
      }

      @Override
      public void close() {}
    };
  }

  private synchronized void write(String name, Node node, ByteBuffer bytes) throws IOException {
    call("write", name);
    byte[] now = new byte[bytes.remaining()];
    bytes.get(now);
    if (size() + now.length > room) {
      throw new IOException("no space left on device");
    }
    node.pending.add(new Piece(node.seen.length, now));
    node.seen = lay(node.seen, node.seen.length, now);
  }

  private synchronized void sync(String name, Node node) throws IOException {
    call("sync", name);
    boolean unfinished = StoreFiles.isUnfinished(name);
    if (!lies.contains(Lie.SYNC) && !(unfinished && lies.contains(Lie.SYNC_UNFINISHED))) {
      settle(node);
    }
  }

  private static void settle(Node node) {
    node.durable = node.seen;
    node.pending.clear();
  }

  private synchronized Node node(String name) throws IOException {
    Node node = names.get(name);
    if (node == null) {
      throw new NoSuchFileException(name);
    }
    return node;
  }

  @Override
  public synchronized void sync(String name) throws IOException {
    call("sync", name);
    if (!lies.contains(Lie.SYNC) && !lies.contains(Lie.SYNC_LEFT)) {
      settle(node(name));
    }
  }

  @Override
  public InputStream open(String name) throws IOException {
    return new ByteArrayInputStream(node(name).seen);
  }

  @Override
  public long size(String name) throws IOException {
    return node(name).seen.length;
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    call("rename", from);
    Node node = node(from);
    names.remove(from);
    names.put(to, node);
    pendingNames.add(
        () -> {
          durableNames.remove(from);
          durableNames.put(to, node);
        });
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    call("delete", name);
    names.remove(name);
    pendingNames.add(() -> durableNames.remove(name));
  }

  @Override
  public synchronized void syncDirectory() throws IOException {
    call("sync", ".");
    if (!lies.contains(Lie.SYNC_DIRECTORY)) {
      pendingNames.forEach(Runnable::run);
      pendingNames.clear();
    }
  }

  @Override
  public Closeable lock() throws IOException {
    if (held) {
      throw new StoreException(StoreException.Reason.LOCKED, "store memory is in use");
    }
    held = true;
    return () -> held = false;
  }

  @Override
  public String describe() {
    return "memory";
  }
}
