package pearusher.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends encoded batches to one file, as the baseline for the other engines. */
final class PlainFileEngine implements StorageEngine {
  private static final int BUFFER_BYTES = 1 << 22;

  private final FileChannel file;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

  PlainFileEngine(Path directory) throws IOException {
    file =
        FileChannel.open(
            directory.resolve("plain"), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
  }

  @Override
  public void append(WriteBatch batch) {
    buffer.put(batch.encode());
  }

  @Override
  public void write() throws IOException {
    file.write(buffer.flip());
    buffer.clear();
  }

  @Override
  public void sync() throws IOException {
    write();
    file.force(false);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
