/**
 * The configuration that operators apply: its entities, its JSON form, changes to it and the
 * immutable state that routers read.
 */
package io.jacinthquay.model.policy;
