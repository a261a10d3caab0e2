package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file system below a store: one directory. After a power failure, written bytes are certain to
 * exist only if the file was synced since, and new, renamed and deleted names only if the directory
 * was. File names have no path.
 */
public interface Disk {

  /** A file that bytes are appended to. */
  interface AppendFile extends Closeable {
    /** Writes all remaining bytes at the end. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once everything that was written is durable. */
    void sync() throws IOException;

    /** Length in bytes. */
    long size();
  }

  /** The names of all files, in no order. */
  List<String> list() throws IOException;

  /** Creates an empty file; one that exists is an error. */
  AppendFile create(String name) throws IOException;

  /** Makes durable what any process, perhaps killed since, wrote to a file. */
  void sync(String name) throws IOException;

  /** Opens a file for reading. */
  InputStream open(String name) throws IOException;

  /** Length in bytes. */
  long size(String name) throws IOException;

  /** Renames a file atomically; an old file of the new name is replaced. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file; one that does not exist is no error. */
  void delete(String name) throws IOException;

  /** Returns once all names are durable. */
  void syncDirectory() throws IOException;

  /**
   * Locks the directory for this process.
   *
   * @return releases the lock when it is closed
   * @throws StoreException {@link StoreException.Reason#LOCKED} if another holds it
   */
  Closeable lock() throws IOException;

  /** The name of the directory, for messages. */
  String describe();
}
