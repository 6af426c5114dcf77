/**
 * The configuration that operators apply: its entities and their JSON form, changes, and the
 * immutable versions that routers read.
 */
package io.jacinthquay.model.policy;
