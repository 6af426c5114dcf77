package io.jacinthquay.decision.learning;

/**
 * The learned rates on which a request was sent.
 *
 * @param promptTokensPerMilli prompt rate of the engine, in tokens per millisecond
 * @param millisPerToken time per output token, or of a call of a plain service, in milliseconds
 * @param expectedMillis expected time to the first event or the response, in milliseconds
 * @param ageMillis time since the observations of other routers arrived, in milliseconds
 */
public record LearnedFigure(
    double promptTokensPerMilli, double millisPerToken, double expectedMillis, long ageMillis) {}
