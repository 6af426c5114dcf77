/**
 * The replicated state: the document in force, closed failure domains, sealed usage counts,
 * quarantined parts of prompts, versions of pools.
 */
package io.jacinthquay.control.state;
