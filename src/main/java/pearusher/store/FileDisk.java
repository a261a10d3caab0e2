package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** A directory of this machine. */
public final class FileDisk implements Disk {
  private static final String LOCK = "LOCK";

  /** Directories that stores of this process hold. */
  private static final Set<Path> HELD = ConcurrentHashMap.newKeySet();

  private final Path directory;

  public FileDisk(Path directory) {
    this.directory = directory;
  }

  /** Makes the directory where it is missing, and its name durable in the one above. */
  public void createDirectory() throws IOException {
    if (!Files.isDirectory(directory)) {
      Files.createDirectories(directory);
      Path above = directory.toAbsolutePath().getParent();
      if (above != null) {
        sync(above);
      }
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> all = Files.list(directory)) {
      return all.map(p -> p.getFileName().toString()).filter(n -> !n.equals(LOCK)).toList();
    }
  }

  @Override
  public Out create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Out() {
      private long size;

      @Override
      public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          size += channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
      }

      @Override
      public long size() {
        return size;
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public void sync(String name) throws IOException {
    try (FileChannel channel =
        FileChannel.open(directory.resolve(name), StandardOpenOption.WRITE)) {
      channel.force(false);
    }
  }

  @Override
  public InputStream open(String name) throws IOException {
    return Files.newInputStream(directory.resolve(name));
  }

  @Override
  public long size(String name) throws IOException {
    return Files.size(directory.resolve(name));
  }

  @Override
  public void rename(String from, String to) throws IOException {
    try {
      Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    } catch (AtomicMoveNotSupportedException e) {
      throw new IOException("this file system can't rename at once: " + directory, e);
    }
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    sync(directory);
  }

  private static void sync(Path directory) throws IOException {
    try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  @Override
  public Closeable lock() throws IOException {
    Path here = directory.toRealPath();
    // Within one process the system's lock guards nothing: closing a second channel would even
    // release
    // it.
    if (!HELD.add(here)) {
      throw inUse();
    }
    FileChannel channel = null;
    FileLock lock = null;
    try {
      channel =
          FileChannel.open(here.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } finally {
      if (lock == null) {
        HELD.remove(here);
        if (channel != null) {
          channel.close();
        }
      }
    }
    if (lock == null) {
      throw inUse();
    }
    FileChannel held = channel;
    return () -> {
      held.close();
      HELD.remove(here);
    };
  }

  private StoreException inUse() {
    return new StoreException(
        StoreException.Reason.LOCKED,
        "store "
            + describe()
            + " is in use by another process; stop it, or name another directory");
  }

  @Override
  public String describe() {
    return directory.toString();
  }
}
