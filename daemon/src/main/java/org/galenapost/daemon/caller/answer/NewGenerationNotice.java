package org.galenapost.daemon.caller.answer;

/**
 * Notifies the caller that the answer restarts at offset 0 with a new generation.
 *
 * @param id the id of the new generation
 * @param reason the reason why the earlier text is not continued
 */
record NewGenerationNotice(String id, String reason) {

  static final String RERUN_DIFFERS = "rerun-differs";
}
