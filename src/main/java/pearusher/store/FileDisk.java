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

/** A directory of the operating system's file system. Thread-safe. */
public final class FileDisk implements Disk {
  private static final String LOCK_FILE = "LOCK";

  /** The directories that this process has locked. */
  private static final Set<Path> LOCKED_DIRECTORIES = ConcurrentHashMap.newKeySet();

  private final Path directory;

  public FileDisk(Path directory) {
    this.directory = directory;
  }

  /** Creates the directory if it does not exist, and syncs its parent. */
  public void createDirectory() throws IOException {
    if (!Files.isDirectory(directory)) {
      Files.createDirectories(directory);
      Path parent = directory.toAbsolutePath().getParent();
      if (parent != null) {
        sync(parent);
      }
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> all = Files.list(directory)) {
      return all.map(path -> path.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .toList();
    }
  }

  @Override
  public AppendFile create(String name) throws IOException {
    FileChannel channel =
        FileChannel.open(
            directory.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new AppendFile() {
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
      throw new IOException("the file system of " + directory + " has no atomic renames", e);
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
    Path realPath = directory.toRealPath();
    // A file lock does not exclude other channels of this process: closing a second channel of the
    // file would even release the lock.
    if (!LOCKED_DIRECTORIES.add(realPath)) {
      throw inUseException();
    }
    FileChannel channel = null;
    FileLock lock = null;
    try {
      channel =
          FileChannel.open(
              realPath.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
      lock = channel.tryLock();
    } finally {
      if (lock == null) {
        LOCKED_DIRECTORIES.remove(realPath);
        if (channel != null) {
          channel.close();
        }
      }
    }
    if (lock == null) {
      throw inUseException();
    }
    FileChannel lockedChannel = channel;
    return () -> {
      lockedChannel.close();
      LOCKED_DIRECTORIES.remove(realPath);
    };
  }

  private StoreException inUseException() {
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
