package pearusher.sitesettings;

/** A setting or a key of the configuration that is missing or can't be used; the text names it. */
public class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates a fault; the text is shown to the operator. */
  public SettingsException(String text) {
    super(text);
  }
}
