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
 * A simulated directory that loses unsynced data at a power cut. Names and contents become durable
 * separately. At a power cut, a random subset of the unsynced sectors and name changes survives.
 */
public final class SimDisk implements Disk {
  private static final int SECTOR_BYTES = 16;

  /** A simulated power failure. It is an error so that no code handles it as a disk failure. */
  public static final class PowerCut extends Error {
    private static final long serialVersionUID = 1L;

    PowerCut() {
      super("simulated power failure", null, false, false);
    }
  }

  /** The kinds of syncs that a test can disable, so that the call returns without an effect. */
  public enum SkippedSync {
    FILE,
    DIRECTORY,
    UNFINISHED_FILE,
    RECOVERED_FILE
  }

  private record PendingWrite(int offset, byte[] bytes) {}

  private static final class FileContent {
    byte[] durable = new byte[0];
    byte[] visible = new byte[0];
    final List<PendingWrite> pendingWrites = new ArrayList<>();
  }

  private final Map<String, FileContent> files;
  private final Map<String, FileContent> durableFiles;
  private final List<Runnable> pendingNameChanges = new ArrayList<>();
  private final Set<SkippedSync> skippedSyncs = EnumSet.noneOf(SkippedSync.class);
  private boolean isLocked;

  /** Number of modifying calls so far. */
  public volatile int callCount;

  /** Whether the power cut has happened. */
  public volatile boolean isPowerOff;

  /** Index of the modifying call at which the power is cut; -1 for never. */
  public volatile int powerCutAtCall = -1;

  /** Index of the modifying call that fails; -1 for none. */
  public volatile int failAtCall = -1;

  /** Maximum total length of all files in bytes. */
  long capacityBytes = Long.MAX_VALUE;

  /** Called with the operation and the file name before each modifying call. */
  public volatile BiConsumer<String, String> callListener = (operation, name) -> {};

  public SimDisk(SkippedSync... skippedSyncs) {
    this(new TreeMap<>(), skippedSyncs);
  }

  private SimDisk(Map<String, FileContent> files, SkippedSync... skippedSyncs) {
    this.files = files;
    durableFiles = new TreeMap<>(files);
    this.skippedSyncs.addAll(List.of(skippedSyncs));
  }

  private synchronized void onCall(String operation, String name) throws IOException {
    callListener.accept(operation, name);
    if (callCount == powerCutAtCall) {
      isPowerOff = true;
      throw new PowerCut();
    }
    if (callCount++ == failAtCall) {
      throw new IOException("input/output error in " + operation + " of " + name);
    }
  }

  /** Returns a disk with the files that survive a power cut. */
  public synchronized SimDisk afterPowerCut(Random random) {
    for (Runnable change : pendingNameChanges) {
      if (random.nextBoolean()) {
        change.run();
      }
    }
    Map<String, FileContent> survivors = new TreeMap<>();
    durableFiles.forEach((name, content) -> survivors.put(name, survivingContent(content, random)));
    return new SimDisk(survivors, skippedSyncs.toArray(SkippedSync[]::new));
  }

  private static FileContent survivingContent(FileContent content, Random random) {
    FileContent survivor = new FileContent();
    survivor.durable = content.durable;
    for (PendingWrite write : content.pendingWrites) {
      for (int from = 0; from < write.bytes().length; from += SECTOR_BYTES) {
        if (random.nextBoolean()) {
          int to = Math.min(write.bytes().length, from + SECTOR_BYTES);
          byte[] sector = Arrays.copyOfRange(write.bytes(), from, to);
          survivor.durable = overlay(survivor.durable, write.offset() + from, sector);
        }
      }
    }
    survivor.visible = survivor.durable;
    return survivor;
  }

  /** Simulates a kill of the process. Unsynced data remains readable, as in a page cache. */
  public void kill() {
    isLocked = false;
    powerCutAtCall = -1;
  }

  private static byte[] overlay(byte[] base, int offset, byte[] bytes) {
    byte[] result = Arrays.copyOf(base, Math.max(base.length, offset + bytes.length));
    System.arraycopy(bytes, 0, result, offset, bytes.length);
    return result;
  }

  byte[] bytes(String name) {
    return files.get(name).visible.clone();
  }

  /** Returns a copy of the disk in which one file is replaced and all files are durable. */
  SimDisk withFile(String name, byte[] bytes) {
    Map<String, FileContent> copies = new TreeMap<>();
    files.forEach(
        (otherName, content) -> {
          FileContent copy = new FileContent();
          copy.visible = otherName.equals(name) ? bytes : content.visible;
          copy.durable = copy.visible;
          copies.put(otherName, copy);
        });
    return new SimDisk(copies);
  }

  @Override
  public synchronized List<String> list() {
    return List.copyOf(files.keySet());
  }

  synchronized long size() {
    return files.values().stream().mapToLong(content -> content.visible.length).sum();
  }

  @Override
  public synchronized AppendFile create(String name) throws IOException {
    onCall("create", name);
    if (files.containsKey(name)) {
      throw new IOException("file " + name + " already exists");
    }
    FileContent content = new FileContent();
    files.put(name, content);
    pendingNameChanges.add(() -> durableFiles.put(name, content));
    return new AppendFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        SimDisk.this.write(name, content, bytes);
      }

      @Override
      public void sync() throws IOException {
        SimDisk.this.sync(name, content);
      }

      @Override
      public long size() {
        return content.visible.length;
      }

      @Override
      public void close() {}
    };
  }

  private synchronized void write(String name, FileContent content, ByteBuffer bytes)
      throws IOException {
    onCall("write", name);
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    if (size() + copy.length > capacityBytes) {
      throw new IOException("no space left on device");
    }
    content.pendingWrites.add(new PendingWrite(content.visible.length, copy));
    content.visible = overlay(content.visible, content.visible.length, copy);
  }

  private synchronized void sync(String name, FileContent content) throws IOException {
    onCall("sync", name);
    boolean isUnfinished = StoreFiles.isUnfinished(name);
    if (!skippedSyncs.contains(SkippedSync.FILE)
        && !(isUnfinished && skippedSyncs.contains(SkippedSync.UNFINISHED_FILE))) {
      makeDurable(content);
    }
  }

  private static void makeDurable(FileContent content) {
    content.durable = content.visible;
    content.pendingWrites.clear();
  }

  private synchronized FileContent content(String name) throws IOException {
    FileContent content = files.get(name);
    if (content == null) {
      throw new NoSuchFileException(name);
    }
    return content;
  }

  @Override
  public synchronized void sync(String name) throws IOException {
    onCall("sync", name);
    if (!skippedSyncs.contains(SkippedSync.FILE)
        && !skippedSyncs.contains(SkippedSync.RECOVERED_FILE)) {
      makeDurable(content(name));
    }
  }

  @Override
  public InputStream open(String name) throws IOException {
    return new ByteArrayInputStream(content(name).visible);
  }

  @Override
  public long size(String name) throws IOException {
    return content(name).visible.length;
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    onCall("rename", from);
    FileContent content = content(from);
    files.remove(from);
    files.put(to, content);
    pendingNameChanges.add(
        () -> {
          durableFiles.remove(from);
          durableFiles.put(to, content);
        });
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    onCall("delete", name);
    files.remove(name);
    pendingNameChanges.add(() -> durableFiles.remove(name));
  }

  @Override
  public synchronized void syncDirectory() throws IOException {
    onCall("sync", ".");
    if (!skippedSyncs.contains(SkippedSync.DIRECTORY)) {
      pendingNameChanges.forEach(Runnable::run);
      pendingNameChanges.clear();
    }
  }

  @Override
  public Closeable lock() throws IOException {
    if (isLocked) {
      throw new StoreException(StoreException.Reason.LOCKED, "store memory is in use");
    }
    isLocked = true;
    return () -> isLocked = false;
  }

  @Override
  public String describe() {
    return "memory";
  }
}
