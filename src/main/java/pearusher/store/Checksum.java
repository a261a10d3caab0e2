package pearusher.store;

import java.util.zip.CRC32C;

/** CRC32C of parts of arrays. */
final class Checksum {
  private Checksum() {}

  static int of(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  /** The checksum of a part of an array followed by all of another. */
  static int of(byte[] bytes, int from, int length, byte[] next) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    crc.update(next, 0, next.length);
    return (int) crc.getValue();
  }
}
