package pearusher.store;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file layer under the store, one directory. What is written counts as there after a power cut
 * only once the file was synced, a new, renamed or deleted name only once the directory was. Names
 * have no path.
 */
public interface Disk {

  /** A file that only grows. */
  interface Out extends Closeable {
    /** Writes all remaining bytes at the end. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once all that was written is on the device. */
    void sync() throws IOException;

    long size();
  }

  /** Names of the files here, in no order. */
  List<String> list() throws IOException;

  /** Begins a file; one of that name is an error. */
  Out create(String name) throws IOException;

  /** Puts on the device what some process, perhaps killed since, wrote to a file. */
  void sync(String name) throws IOException;

  InputStream open(String name) throws IOException;

  /** Length in bytes. */
  long size(String name) throws IOException;

  /** Gives a file another name at once; an old file of that name is replaced. */
  void rename(String from, String to) throws IOException;

  void delete(String name) throws IOException;

  /** Returns once the names as they stand are on the device. */
  void syncDirectory() throws IOException;

  /**
   * Takes the directory for this process alone.
   *
   * @throws StoreException {@link StoreException.Reason#LOCKED} if another holds it
   */
  Closeable lock() throws IOException;

  /** The directory, for messages. */
  String describe();
}
