package pearusher.store;

import java.util.zip.CRC32C;

/** Computes CRC32C checksums of array ranges. */
final class Checksum {
  private Checksum() {}

  static int of(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  /** Returns the checksum of a range of one array followed by the complete second array. */
  static int of(byte[] bytes, int from, int length, byte[] next) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    crc.update(next, 0, next.length);
    return (int) crc.getValue();
  }
}
