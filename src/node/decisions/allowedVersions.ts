import type { Model, Organisation } from '../inventory';
import { isMemberLive, isVersionWithdrawn, type Member, type View } from '../view';

/** Lists the models that an organisation may use, in the order of the inventory. */
export const listAllowedModels = (view: View, organisation: Organisation): readonly Model[] =>
  view
    .list('model')
    .filter((model) => organisation.models.some((item) => item.name === model.name));

/** Checks whether an organisation may use a version of a model. */
export const isVersionAllowed = (
  organisation: Organisation,
  model: string,
  version: string,
): boolean => {
  const allowed = organisation.models.find((item) => item.name === model);
  if (!allowed) return false;
  return allowed.versions === undefined || allowed.versions.includes(version);
};

/** Checks whether new work of an organisation may run on a version now. */
export const isVersionUsable = (
  view: View,
  organisation: Organisation,
  model: string,
  version: string,
): boolean =>
  isVersionAllowed(organisation, model, version) && !isVersionWithdrawn(view, model, version);

/** Lists the live endpoints that serve a version. */
export const listServingMembers = (view: View, model: string, version: string): readonly Member[] =>
  view
    .list('member')
    .filter(
      (member) =>
        isMemberLive(view, member) &&
        member.serves.some((item) => item.model === model && item.version === version),
    );
