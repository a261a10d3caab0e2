package pearusher.simulator;

/** Codes of the records in a reply; each record begins with the byte of its code. */
enum CommandCode {
  LOG(65),
  SET_EJECTED(66),
  REQUEST_ACK(67),
  WATCH_ENDPOINTS(68),
  BIND_PROXY(69),
  SET_ADMISSION(70),
  FETCH_ENDPOINTS(71),
  /** Names the instance that the records after it belong to. */
  INSTANCE(72),
  SEND_TO_PEER(73),
  CLEAR_TABLE(74),
  CHECK_HEALTH(75),
  /** The instance has failed and gets no further events. */
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
