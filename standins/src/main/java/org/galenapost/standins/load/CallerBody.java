package org.galenapost.standins.load;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The request body of a generation.
 *
 * @param model the name of the model
 * @param prompt the prompt
 * @param seed the sampling seed
 * @param maxTokens the maximum number of tokens to generate
 * @param adapter the name of the adapter, or null
 * @param stream whether the answer is streamed; always true here
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record CallerBody(
    String model, String prompt, long seed, int maxTokens, String adapter, boolean stream) {

  static CallerBody of(Arrival arrival) {
    RequestClass requestClass = arrival.requestClass();
    return new CallerBody(
        requestClass.model(),
        arrival.prompt(),
        arrival.seed(),
        requestClass.maxTokens(),
        requestClass.adapter(),
        true);
  }
}
