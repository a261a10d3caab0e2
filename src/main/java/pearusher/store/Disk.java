package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The directory in which a store keeps its files. After a power failure, written bytes are only
 * guaranteed to exist if the file was synced after the write. The creation, renaming or deletion of
 * a file is only guaranteed if the directory was synced after it. File names contain no path.
 */
public interface Disk {

  /** A new file that is written by appending. */
  interface AppendFile extends Closeable {
    /** Appends all remaining bytes of a buffer. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once all written bytes are durable. */
    void sync() throws IOException;

    /** Returns the length in bytes. */
    long size();
  }

  /** Returns the names of all files, in no particular order. */
  List<String> list() throws IOException;

  /**
   * Creates an empty file.
   *
   * @throws IOException if a file of this name exists
   */
  AppendFile create(String name) throws IOException;

  /** Makes the bytes of a file durable that any process wrote, also one that was killed since. */
  void sync(String name) throws IOException;

  /** Opens a file for reading. */
  InputStream open(String name) throws IOException;

  /** Returns the length of a file in bytes. */
  long size(String name) throws IOException;

  /** Renames a file atomically, and replaces an existing file of the new name. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Returns once all creations, renames and deletions of files are durable. */
  void syncDirectory() throws IOException;

  /**
   * Locks the directory for this process.
   *
   * @return the lock, which is released by closing it
   * @throws StoreException with {@link StoreException.Reason#LOCKED} if the directory is locked
   */
  Closeable lock() throws IOException;

  /** Returns the name of the directory, for messages. */
  String describe();
}
