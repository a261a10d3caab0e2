package pearusher.simulator;

/** Record codes of a reply. The first byte of each record is its code. */
enum CommandCode {
  LOG(65),
  SET_EJECTED(66),
  REQUEST_ACK(67),
  WATCH_ENDPOINTS(68),
  BIND_PROXY(69),
  SET_ADMISSION(70),
  FETCH_ENDPOINTS(71),
  /** Selects the instance of the records that follow. */
  INSTANCE(72),
  SEND_TO_PEER(73),
  CLEAR_TABLE(74),
  CHECK_HEALTH(75),
  /** Reports that the instance has failed and receives no further events. */
  FAILURE(76),
  SET_TIMER(77),
  SET_WEIGHT(78);

  private final int value;

  CommandCode(int value) {
    this.value = value;
  }

  byte toByte() {
    return (byte) value;
  }
}
